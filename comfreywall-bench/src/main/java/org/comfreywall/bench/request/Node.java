package org.comfreywall.bench.request;

/**
 * A process in virtual time that can crash and restart.
 */
abstract class Node {

	private final String name;

	private final int region;

	private long life = 1;

	private boolean alive = true;

	Node(String name, int region) {
		this.name = name;
		this.region = region;
	}

	final String name() {
		return this.name;
	}

	final int region() {
		return this.region;
	}

	final long life() {
		return this.life;
	}

	final boolean isAlive() {
		return this.alive;
	}

	final void stop() {
		this.alive = false;
	}

	final void restart() {
		this.life++;
		this.alive = true;
	}

}

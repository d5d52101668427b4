package org.comfreywall.bench.request;

/**
 * A simulated process that can crash and restart. Each restart begins a new incarnation.
 */
abstract class Node {

	private final String name;

	private final int region;

	private long incarnationNumber = 1;

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

	final long incarnationNumber() {
		return this.incarnationNumber;
	}

	final boolean isAlive() {
		return this.alive;
	}

	final void stop() {
		this.alive = false;
	}

	final void restart() {
		this.incarnationNumber++;
		this.alive = true;
	}

}

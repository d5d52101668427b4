package org.comfreywall.bench.routing;

/**
 * Chooses the workers in turn.
 */
final class RoundRobinPolicy implements EntryPolicy {

	private final int workers;

	private int next;

	RoundRobinPolicy(int first, int workers) {
		this.workers = workers;
		this.next = first;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		return this.next++ % this.workers;
	}

}

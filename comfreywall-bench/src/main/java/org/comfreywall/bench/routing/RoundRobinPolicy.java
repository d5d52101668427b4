package org.comfreywall.bench.routing;

/**
 * Round robin: chooses the backend servers in turn, starting at a given index.
 */
final class RoundRobinPolicy implements LoadBalancingPolicy {

	private final int servers;

	private int next;

	RoundRobinPolicy(int first, int servers) {
		this.servers = servers;
		this.next = first;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		return this.next++ % this.servers;
	}

}

package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

/**
 * Power of two random choices by requests in flight: draws two backend servers at random
 * and chooses the one with fewer requests in flight from this entry instance. Requests of
 * other entry instances are not counted.
 */
final class InFlightPowerOfTwoPolicy implements LoadBalancingPolicy {

	private final int[] inFlight;

	private final RandomGenerator random;

	InFlightPowerOfTwoPolicy(int servers, RandomGenerator random) {
		this.inFlight = new int[servers];
		this.random = random;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		int[] candidates = this.random.ints(0, this.inFlight.length).distinct().limit(2).toArray();
		int chosen = (this.inFlight[candidates[1]] < this.inFlight[candidates[0]]) ? candidates[1] : candidates[0];
		this.inFlight[chosen]++;
		return chosen;
	}

	@Override
	public void onFinished(Arrival arrival, int server, long now) {
		this.inFlight[server]--;
	}

}

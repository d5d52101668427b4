package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

/**
 * Chooses, of two workers drawn at random, the one with fewer requests of this entry in
 * flight.
 */
final class InFlightPowerOfTwoPolicy implements EntryPolicy {

	private final int[] inFlight;

	private final RandomGenerator random;

	InFlightPowerOfTwoPolicy(int workers, RandomGenerator random) {
		this.inFlight = new int[workers];
		this.random = random;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		int[] two = this.random.ints(0, this.inFlight.length).distinct().limit(2).toArray();
		int chosen = (this.inFlight[two[1]] < this.inFlight[two[0]]) ? two[1] : two[0];
		this.inFlight[chosen]++;
		return chosen;
	}

	@Override
	public void finished(Arrival arrival, int worker, long now) {
		this.inFlight[worker]--;
	}

}

package org.comfreywall.bench.limits;

import java.util.random.RandomGenerator;

/**
 * A monotonic clock with a random offset from true time, whose rate differs from true
 * time by a limited drift and can change.
 */
final class DriftingClock {

	private final double maxDrift;

	private long changedAt;

	private double localTime;

	private double rate = 1;

	DriftingClock(double maxDrift, RandomGenerator random) {
		this.maxDrift = maxDrift;
		this.localTime = random.nextInt(1_000_000_000);
		changeRate(0, random);
	}

	/**
	 * Draws a new rate. Half of the draws are the fastest or slowest allowed rate, the
	 * others are uniform between them.
	 * @param trueTime the true time in nanoseconds
	 * @param random the source of randomness
	 */
	void changeRate(long trueTime, RandomGenerator random) {
		this.localTime += (trueTime - this.changedAt) * this.rate;
		this.changedAt = trueTime;
		double sign = random.nextBoolean() ? 1 : -1;
		this.rate = 1 + this.maxDrift * (random.nextBoolean() ? sign : random.nextDouble(-1, 1));
	}

	/**
	 * Returns the time on this clock.
	 * @param trueTime the true time in nanoseconds
	 * @return the local time in nanoseconds
	 */
	long read(long trueTime) {
		return (long) (this.localTime + (trueTime - this.changedAt) * this.rate);
	}

}

package org.comfreywall.bench.limits;

import java.util.random.RandomGenerator;

/**
 * A monotonic clock whose rate differs from true time and changes now and then.
 */
final class DriftingClock {

	private final double greatestDrift;

	private long changedAt;

	private double local;

	private double rate = 1;

	DriftingClock(double greatestDrift, RandomGenerator random) {
		this.greatestDrift = greatestDrift;
		this.local = random.nextInt(1_000_000_000);
		changeRate(0, random);
	}

	void changeRate(long trueTime, RandomGenerator random) {
		this.local += (trueTime - this.changedAt) * this.rate;
		this.changedAt = trueTime;
		double extreme = random.nextBoolean() ? 1 : -1;
		this.rate = 1 + this.greatestDrift * (random.nextBoolean() ? extreme : random.nextDouble(-1, 1));
	}

	long read(long trueTime) {
		return (long) (this.local + (trueTime - this.changedAt) * this.rate);
	}

}

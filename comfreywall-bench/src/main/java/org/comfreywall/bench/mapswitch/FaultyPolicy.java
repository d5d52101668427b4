package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Loses, duplicates, delays and thereby reorders messages while faults are enabled.
 */
final class FaultyPolicy implements LinkPolicy {

	private static final long USUAL_DELAY_RANGE_NANOS = Duration.ofMillis(1).toNanos();

	private static final long MAX_SLOW_DELAY_NANOS = Duration.ofMillis(400).toNanos();

	private static final long MAX_VERY_LATE_DELAY_NANOS = Duration.ofSeconds(15).toNanos();

	private final RandomGenerator random;

	private boolean faulty;

	private double lossProbability;

	private int slowRank = Link.LEDGER;

	FaultyPolicy(RandomGenerator random) {
		this.random = random;
	}

	void startFaults(int ranks) {
		this.faulty = true;
		this.lossProbability = this.random.nextDouble(0.3);
		this.slowRank = this.random.nextInt(ranks);
	}

	void stopFaults() {
		this.faulty = false;
	}

	@Override
	public long[] deliveryDelays(int rank, Object message) {
		if (!this.faulty) {
			return new long[] { usualDelay() };
		}
		if (this.random.nextDouble() < this.lossProbability) {
			return new long[0];
		}
		if (this.random.nextInt(10) == 0) {
			return new long[] { randomDelay(rank), randomDelay(rank) };
		}
		return new long[] { randomDelay(rank) };
	}

	private long randomDelay(int rank) {
		int percentile = this.random.nextInt(100);
		if (percentile == 0) {
			return this.random.nextLong(MAX_VERY_LATE_DELAY_NANOS);
		}
		return (percentile < 10 || rank == this.slowRank) ? this.random.nextLong(MAX_SLOW_DELAY_NANOS) : usualDelay();
	}

	private long usualDelay() {
		return 100_000 + this.random.nextLong(USUAL_DELAY_RANGE_NANOS);
	}

}

package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Loses, doubles, delays and thereby reorders messages while faults are on.
 */
final class FaultyPolicy implements LinkPolicy {

	private static final long USUAL_NANOS = Duration.ofMillis(1).toNanos();

	private static final long SLOW_NANOS = Duration.ofMillis(400).toNanos();

	private static final long VERY_LATE_NANOS = Duration.ofSeconds(15).toNanos();

	private final RandomGenerator random;

	private boolean faulty;

	private double loss;

	private int slowRank = Link.LEDGER;

	FaultyPolicy(RandomGenerator random) {
		this.random = random;
	}

	void startFaults(int ranks) {
		this.faulty = true;
		this.loss = this.random.nextDouble(0.3);
		this.slowRank = this.random.nextInt(ranks);
	}

	void stopFaults() {
		this.faulty = false;
	}

	@Override
	public long[] delays(int rank, Object message) {
		if (!this.faulty) {
			return new long[] { usual() };
		}
		if (this.random.nextDouble() < this.loss) {
			return new long[0];
		}
		if (this.random.nextInt(10) == 0) {
			return new long[] { delay(rank), delay(rank) };
		}
		return new long[] { delay(rank) };
	}

	private long delay(int rank) {
		int luck = this.random.nextInt(100);
		if (luck == 0) {
			return this.random.nextLong(VERY_LATE_NANOS);
		}
		return (luck < 10 || rank == this.slowRank) ? this.random.nextLong(SLOW_NANOS) : usual();
	}

	private long usual() {
		return 100_000 + this.random.nextLong(USUAL_NANOS);
	}

}

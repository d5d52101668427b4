package org.comfreywall.bench.limits;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A network that loses, duplicates, delays and reorders messages, and in which entry
 * instances can be partitioned from grantors.
 */
final class FaultyNetwork implements SimulatedNetwork {

	private static final long MILLI_NANOS = 1_000_000;

	private final RandomGenerator random;

	private final boolean[][] partitioned;

	private boolean faultsDisabled;

	FaultyNetwork(RandomGenerator random, int entries, int grantors) {
		this.random = random;
		this.partitioned = new boolean[entries][grantors];
	}

	@Override
	public List<Long> deliveryDelays(int entry, int grantor) {
		if (this.faultsDisabled) {
			return List.of(normalDelay());
		}
		if (this.partitioned[entry][grantor] || this.random.nextInt(20) == 0) {
			return List.of();
		}
		long delay = (this.random.nextInt(20) == 0) ? this.random.nextLong(4000 * MILLI_NANOS) : normalDelay();
		boolean duplicated = this.random.nextInt(20) == 0;
		return duplicated
				? List.of(delay,
						delay + this.random.nextLong(this.random.nextBoolean() ? 50 * MILLI_NANOS : 3000 * MILLI_NANOS))
				: List.of(delay);
	}

	/**
	 * Starts or ends a partition between an entry instance and a grantor.
	 * @param entry the index of the entry instance
	 * @param grantor the index of the grantor
	 */
	void togglePartition(int entry, int grantor) {
		this.partitioned[entry][grantor] = !this.partitioned[entry][grantor];
	}

	/**
	 * Suspends or resumes all faults. Partitions are kept and apply again when faults
	 * resume.
	 * @param faultsDisabled whether every message is delivered once, after a short delay
	 */
	void setFaultsDisabled(boolean faultsDisabled) {
		this.faultsDisabled = faultsDisabled;
	}

	private long normalDelay() {
		return MILLI_NANOS / 10 + this.random.nextLong(40 * MILLI_NANOS);
	}

}

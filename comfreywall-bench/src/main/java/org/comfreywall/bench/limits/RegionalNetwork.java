package org.comfreywall.bench.limits;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Simulates a network that delivers messages after 0.5 to 30.5 ms and loses one in a
 * thousand at random. The entry instances are spread round robin over the regions. Region
 * 1 can be partitioned from the primary grantor, which has index 0; the reserve grantors
 * stay reachable.
 */
final class RegionalNetwork implements SimulatedNetwork {

	private static final long NANOS_PER_MICRO = 1_000;

	private final RandomGenerator random;

	private final int regionCount;

	private boolean partitioned;

	RegionalNetwork(RandomGenerator random, int regionCount) {
		this.random = random;
		this.regionCount = regionCount;
	}

	@Override
	public List<Long> deliveryDelays(int entry, int grantor) {
		boolean unreachable = this.partitioned && grantor == 0 && entry % this.regionCount == 1;
		if (unreachable || this.random.nextInt(1000) == 0) {
			return List.of();
		}
		return List.of(500 * NANOS_PER_MICRO + this.random.nextLong(30_000 * NANOS_PER_MICRO));
	}

	/**
	 * Starts or ends the partition of region 1 from the primary grantor.
	 * @param partitioned whether the region is partitioned from the primary grantor
	 */
	void setPartitioned(boolean partitioned) {
		this.partitioned = partitioned;
	}

}

package org.comfreywall.bench.limits;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A network of regions that rarely loses a message. One region can be partitioned from
 * the primary grantor; the reserve grantors stay reachable.
 */
final class RegionalNetwork implements SimulatedNetwork {

	private static final long MICRO_NANOS = 1_000;

	private final RandomGenerator random;

	private final int regions;

	private boolean partitioned;

	RegionalNetwork(RandomGenerator random, int regions) {
		this.random = random;
		this.regions = regions;
	}

	@Override
	public List<Long> deliveryDelays(int entry, int grantor) {
		boolean unreachable = this.partitioned && grantor == 0 && entry % this.regions == 1;
		if (unreachable || this.random.nextInt(1000) == 0) {
			return List.of();
		}
		return List.of(500 * MICRO_NANOS + this.random.nextLong(30_000 * MICRO_NANOS));
	}

	/**
	 * Starts or ends the partition.
	 * @param partitioned whether the region is partitioned from the primary grantor
	 */
	void setPartitioned(boolean partitioned) {
		this.partitioned = partitioned;
	}

}

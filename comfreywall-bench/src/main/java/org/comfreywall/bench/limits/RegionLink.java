package org.comfreywall.bench.limits;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A link between regions of which one can be cut off from the primary grantor.
 */
final class RegionLink implements Link {

	private static final long MICRO = 1_000;

	private final RandomGenerator random;

	private final int regions;

	private boolean cut;

	RegionLink(RandomGenerator random, int regions) {
		this.random = random;
		this.regions = regions;
	}

	@Override
	public List<Long> deliver(int entry, int grantor) {
		boolean cutOff = this.cut && grantor == 0 && entry % this.regions == 1;
		if (cutOff || this.random.nextInt(1000) == 0) {
			return List.of();
		}
		return List.of(500 * MICRO + this.random.nextLong(30_000 * MICRO));
	}

	void cut(boolean cut) {
		this.cut = cut;
	}

}

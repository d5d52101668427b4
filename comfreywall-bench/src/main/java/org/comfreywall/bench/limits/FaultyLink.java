package org.comfreywall.bench.limits;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A link that loses, doubles, delays and reorders messages, and cuts off entries.
 */
final class FaultyLink implements Link {

	private static final long MILLI = 1_000_000;

	private final RandomGenerator random;

	private final boolean[][] cut;

	private boolean healed;

	FaultyLink(RandomGenerator random, int entries, int grantors) {
		this.random = random;
		this.cut = new boolean[entries][grantors];
	}

	@Override
	public List<Long> deliver(int entry, int grantor) {
		if (this.healed) {
			return List.of(quick());
		}
		if (this.cut[entry][grantor] || this.random.nextInt(20) == 0) {
			return List.of();
		}
		long delay = (this.random.nextInt(20) == 0) ? this.random.nextLong(4000 * MILLI) : quick();
		boolean doubled = this.random.nextInt(20) == 0;
		return doubled
				? List.of(delay, delay + this.random.nextLong(this.random.nextBoolean() ? 50 * MILLI : 3000 * MILLI))
				: List.of(delay);
	}

	void toggleCut(int entry, int grantor) {
		this.cut[entry][grantor] = !this.cut[entry][grantor];
	}

	void healed(boolean healed) {
		this.healed = healed;
	}

	private long quick() {
		return MILLI / 10 + this.random.nextLong(40 * MILLI);
	}

}

package org.comfreywall.bench.mapswitch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RandomisedSwitchRun}.
 */
class RandomisedSwitchRunTests {

	private static final long SEED = 1;

	@Test
	void neverMixesMapsChangesADecisionOrStaysStuck() {
		RandomisedSwitchResult result = RandomisedSwitchRun.execute(SEED, RandomisedSwitchRun.DEFAULT_STEPS);

		assertThat(result.violations()).isEmpty();
		assertThat(result.invariantBreaches()).isZero();
		assertThat(result.stuckWindows()).isZero();
		assertThat(result.steps()).isGreaterThanOrEqualTo(RandomisedSwitchRun.DEFAULT_STEPS);
		assertThat(result.commits()).isPositive();
	}

}

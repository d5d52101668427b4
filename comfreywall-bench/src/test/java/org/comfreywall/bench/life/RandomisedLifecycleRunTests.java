package org.comfreywall.bench.life;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RandomisedLifecycleRun}.
 */
class RandomisedLifecycleRunTests {

	/**
	 * Seed 5 guards against replacing a running member when memberships arrive out of
	 * order. In seed 11 the reports of a server are lost from just before its stall ends.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 3, 5, 11 })
	void replacesOnlyCrashedOrStalledMembersAndRunsAfterFaultsEnd(long seed) {
		RandomisedLifecycleResult result = RandomisedLifecycleRun.execute(seed, RandomisedLifecycleRun.DEFAULT_TICKS);

		assertThat(result.violations()).isEmpty();
		assertThat(result.stuckWindows()).isZero();
		assertThat(result.replacements()).isPositive();
	}

}

package org.comfreywall.bench.overload;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the retry budget limits the amplification of load when every attempt fails.
 */
class RetryStormTests {

	private static final long SEED = 1;

	@Test
	void amplificationIsBoundedOverManyClientAccounts() {
		assertThat(new RetryStorm(SEED, 5300).measureAmplification(100_000)).isLessThan(1.1);
	}

	@Test
	void amplificationIsBoundedWithFullRetryBudgets() {
		RetryStorm storm = new RetryStorm(SEED, 10);
		storm.recordHealthyRequests(10_000);
		assertThat(storm.measureAmplification(500)).isLessThan(1.1);
	}

}

package org.comfreywall.bench.request;

import org.comfreywall.common.result.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestRun}.
 */
class RequestRunTests {

	private static final long SEED = 20;

	@Test
	void keepsAllRulesUnderRandomFaults() {
		RequestRun run = new RequestRun();
		run.run(SEED, RequestRun.DEFAULT_STEPS);
		assertThat(run.ruleChecker().violationTexts()).isEmpty();
		assertThat(run.invariantBreaches()).isZero();
		assertThat(run.openCount()).isZero();
		assertThat(run.eventsWithoutCrash()).isEmpty();
		assertThat(run.ruleChecker().outcomes(Outcome.COMPLETED)).isGreaterThan((int) (RequestRun.DEFAULT_STEPS / 2));
	}

}

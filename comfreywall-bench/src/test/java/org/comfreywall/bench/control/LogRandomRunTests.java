package org.comfreywall.bench.control;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the replicated log under random faults with {@link LogRandomRun}.
 */
class LogRandomRunTests {

	private static final long STEPS = 100_000;

	@ParameterizedTest
	@ValueSource(ints = { 3, 5 })
	void findsNoViolation(int instances) {
		LogRandomRunResult result = new LogRandomRun(1, instances).run(STEPS);
		assertThat(result.violations()).isEmpty();
		assertThat(result.breaches()).isZero();
		assertThat(result.steps()).isGreaterThanOrEqualTo(STEPS);
		assertThat(result.repairs()).as("instances replaced").isPositive();
		assertThat(result.acknowledged()).as("changes acknowledged").isPositive();
		assertThat(result.claims()).as("claims granted").isPositive();
	}

}

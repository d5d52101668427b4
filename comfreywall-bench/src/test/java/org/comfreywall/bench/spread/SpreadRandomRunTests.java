package org.comfreywall.bench.spread;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs dissemination, membership and orders under random faults with
 * {@link SpreadRandomRun}.
 */
class SpreadRandomRunTests {

	private static final long SEED = 1;

	@Test
	void holdsAllInvariantsUnderRandomFaults() {
		SpreadRandomRun run = new SpreadRandomRun(SEED);
		run.run(SpreadRandomMeasurement.DEFAULT_STEPS);
		assertThat(run.violations().examples()).isEmpty();
		assertThat(run.violations().total()).isZero();
	}

	@Test
	void coversElectionsFailuresAndFencedOrders() {
		SpreadRandomRun run = new SpreadRandomRun(SEED);
		run.run(5_000);
		assertThat(run.fleet().term().value()).isGreaterThan(1);
		assertThat(run.checker().detectedFailures()).isPositive();
		assertThat(run.orders().acceptedOrders()).isPositive();
		assertThat(run.orders().fencedOrders()).isPositive();
	}

}

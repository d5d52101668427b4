package org.comfreywall.bench.spread;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs dissemination, membership and orders under random faults with
 * {@link SpreadRandomRun}.
 */
class SpreadRandomTests {

	private static final long SEED = 1;

	@Test
	void holdsAllInvariantsUnderRandomFaults() {
		SpreadRandomRun run = new SpreadRandomRun(SEED);
		run.run(SpreadRandom.DEFAULT_STEPS);
		assertThat(run.violations().examples()).isEmpty();
		assertThat(run.violations().total()).isZero();
	}

	@Test
	void coversElectionsFailuresAndFencedOrders() {
		SpreadRandomRun run = new SpreadRandomRun(SEED);
		run.run(5_000);
		assertThat(run.fleet().term().value()).isGreaterThan(1);
		assertThat(run.watcher().failures()).isPositive();
		assertThat(run.orders().accepted()).isPositive();
		assertThat(run.orders().fenced()).isPositive();
	}

}

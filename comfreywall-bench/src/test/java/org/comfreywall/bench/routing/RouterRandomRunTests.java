package org.comfreywall.bench.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the router on random events.
 */
class RouterRandomRunTests {

	@Test
	void randomEventsViolateNothing() {
		RouterRandomRun run = new RouterRandomRun(11);
		run.run(100_000);
		assertThat(run.violations()).isEmpty();
		assertThat(run.choices() - run.refusals()).isPositive();
		assertThat(run.ejections()).isPositive();
	}

}

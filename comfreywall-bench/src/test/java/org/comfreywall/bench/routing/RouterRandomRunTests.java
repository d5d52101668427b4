package org.comfreywall.bench.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the router keeps its invariants under random events, some of which arrive
 * late, twice or out of order.
 */
class RouterRandomRunTests {

	@Test
	void randomEventsViolateNoInvariant() {
		RouterRandomRun run = new RouterRandomRun(11);
		run.run(100_000);
		assertThat(run.violations()).isEmpty();
		assertThat(run.choices() - run.refusals()).isPositive();
		assertThat(run.ejections()).isPositive();
	}

}

package org.comfreywall.bench.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the router keeps its invariants under random events, some of which arrive
 * late, twice or out of order.
 */
class RandomRouterRunTests {

	@Test
	void randomEventsViolateNoInvariant() {
		RandomRouterRun run = new RandomRouterRun(11);
		run.run(100_000);
		assertThat(run.violations()).isEmpty();
		assertThat(run.choices() - run.refusals()).isPositive();
		assertThat(run.ejections()).isPositive();
	}

}

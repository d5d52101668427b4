package org.comfreywall.entry.kv;

import java.time.Duration;

import org.comfreywall.common.id.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KvPlanner}.
 */
class KvPlannerTests {

	private static final BackendServerId SOURCE = BackendServerId.of("w1");

	private final KvPlanner pricing = new KvPlanner(1000, 1e7, 1e6, Duration.ofMillis(10));

	@Test
	void transfersWithinTheFailureDomainWhenComputingIsSlower() {
		KvPlan plan = this.pricing.plan(1000, 0, 1000, new KvSource(SOURCE, 800, true));
		assertThat(plan).isEqualTo(new KvTransfer(SOURCE, 800, 290_000_000L));
	}

	@Test
	void recomputesWhenTheTransferBetweenFailureDomainsIsSlower() {
		KvPlan plan = this.pricing.plan(1000, 0, 2000, new KvSource(SOURCE, 800, false));
		assertThat(plan).isEqualTo(new Recompute(500_000_000L));
	}

	@Test
	void recomputesWhenTheSourceHoldsNoMore() {
		KvPlan plan = this.pricing.plan(1000, 800, 1000, new KvSource(SOURCE, 800, true));
		assertThat(plan).isInstanceOf(Recompute.class);
	}

	@Test
	void recomputesShortPromptsBecauseOfTheTransferSetup() {
		KvPlan plan = this.pricing.plan(8, 0, 1000, new KvSource(SOURCE, 8, true));
		assertThat(plan).isEqualTo(new Recompute(8_000_000L));
	}

}

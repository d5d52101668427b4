package org.comfreywall.gateway.pool;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceRetryBudget}.
 */
class ServiceRetryBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	@Test
	void retriesOfAllEntriesStayWithinTheLimitWhenEveryRequestFails() {
		int entries = 7;
		int requests = 0;
		int retries = 0;
		for (int entry = 0; entry < entries; entry++) {
			ServiceRetryBudget budget = new ServiceRetryBudget(0.2, 96, Duration.ofSeconds(10));
			for (int i = 0; i < 100; i++) {
				long now = i * SECOND / 10;
				budget.recordFirstAttempt(now);
				requests++;
				retries += budget.tryAcquire(entries, now) ? 1 : 0;
			}
		}
		assertThat(retries).isPositive().isLessThanOrEqualTo((int) (0.2 * requests) + 96);
	}

	@Test
	void theLimitHoldsIfEveryEntryRestartsOnce() {
		int retries = 0;
		for (int incarnation = 0; incarnation < 14; incarnation++) {
			ServiceRetryBudget budget = new ServiceRetryBudget(0, 96, Duration.ofSeconds(10));
			for (int i = 0; i < 100; i++) {
				retries += budget.tryAcquire(7, i) ? 1 : 0;
			}
		}
		assertThat(retries).isLessThanOrEqualTo(96);
	}

	@Test
	void retriesAreAvailableAgainAfterTheWindow() {
		ServiceRetryBudget budget = new ServiceRetryBudget(0, 2, Duration.ofSeconds(10));
		assertThat(budget.tryAcquire(1, 0)).isTrue();
		assertThat(budget.tryAcquire(1, SECOND)).isFalse();
		assertThat(budget.tryAcquire(1, 11 * SECOND)).isTrue();
	}

}

package org.comfreywall.entry.retry;

import java.time.Duration;
import java.util.SplittableRandom;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.entry.request.RetryCause;
import org.comfreywall.entry.request.RetryDecision;
import org.comfreywall.entry.request.RetryQuery;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryController}.
 */
class RetryControllerTests {

	private static final long SECOND = 1_000_000_000;

	private static final ServiceId SERVICE = ServiceId.of("drafting");

	private final RetryController controller = new RetryController(RetrySettings.DEFAULT, new SplittableRandom(1),
			DecisionListener.NONE);

	private static RetryQuery query(String account, int attempts, long remainingNanos) {
		return new RetryQuery(RequestId.of("r"), AccountId.of(account), SERVICE, attempts, RetryCause.REFUSED,
				remainingNanos);
	}

	private void firstAttempts(String account, int count) {
		for (int i = 0; i < count; i++) {
			this.controller.recordFirstAttempt(AccountId.of(account), SERVICE);
		}
	}

	@Test
	void allowsNoRetryBeforeBudgetHoldsOneToken() {
		firstAttempts("a", 14);
		assertThat(this.controller.decide(query("a", 1, SECOND)).reason()).isEqualTo("retry-budget-exhausted");
		firstAttempts("a", 1);
		assertThat(this.controller.decide(query("a", 1, SECOND)).allowed()).isTrue();
		assertThat(this.controller.decide(query("a", 1, SECOND)).allowed()).isFalse();
	}

	@Test
	void keepsBudgetsOfAccountsSeparate() {
		firstAttempts("a", 100);
		assertThat(this.controller.decide(query("b", 1, SECOND)).allowed()).isFalse();
	}

	@Test
	void appliesFullJitterToBackOffDelay() {
		long longest = 0;
		long shortest = Long.MAX_VALUE;
		for (int i = 0; i < 30; i++) {
			firstAttempts("a", 20);
			RetryDecision decision = this.controller.decide(query("a", 2, 10 * SECOND));
			longest = Math.max(longest, decision.delay().toMillis());
			shortest = Math.min(shortest, decision.delay().toMillis());
		}
		assertThat(longest).isBetween(50L, 100L);
		assertThat(shortest).isLessThan(50);
	}

	@Test
	void stopsWhenAnswerWouldArriveAfterDeadline() {
		firstAttempts("a", 100);
		for (int i = 0; i < 200; i++) {
			this.controller.recordLatency(SERVICE, SECOND);
		}
		assertThat(this.controller.decide(query("a", 1, SECOND / 2)).reason()).isEqualTo("deadline-too-near");
	}

	@Test
	void stopsAfterTheLastAttempt() {
		firstAttempts("a", 100);
		assertThat(this.controller.decide(query("a", 3, SECOND)).reason()).isEqualTo("attempts-exhausted");
	}

	@Test
	void takesNothingFromBudgetIfNoAttemptWasSent() {
		assertThat(this.controller.decide(query("a", 0, SECOND)).allowed()).isTrue();
	}

	@Test
	void hedgesAfterObservedLatencyQuantile() {
		assertThat(this.controller.hedgeDelay(SERVICE)).isEmpty();
		for (int i = 1; i <= 1000; i++) {
			this.controller.recordLatency(SERVICE, i * 1_000_000L);
		}
		assertThat(this.controller.hedgeDelay(SERVICE).get()).isBetween(Duration.ofMillis(940),
				Duration.ofMillis(1050));
	}

	@Test
	void hedgesWithinTheRetryBudget() {
		firstAttempts("a", 15);
		assertThat(this.controller.acquireHedge(RequestId.of("r"), AccountId.of("a"), SERVICE, SECOND)).isTrue();
		assertThat(this.controller.acquireHedge(RequestId.of("r"), AccountId.of("a"), SERVICE, SECOND)).isFalse();
	}

}

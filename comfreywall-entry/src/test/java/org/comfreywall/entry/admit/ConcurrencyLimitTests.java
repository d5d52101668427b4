package org.comfreywall.entry.admit;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConcurrencyLimit}.
 */
class ConcurrencyLimitTests {

	private static final long MILLI = 1_000_000;

	private final ConcurrencyLimit limit = new ConcurrencyLimit(
			new AdmissionSettings(QueueTimeLimits.DEFAULT, 100, 4, 32, 1000, Duration.ofMillis(100), 1.5));

	private long now;

	private void runRequests(FinishKind kind, long nanos, int running) {
		for (int i = 0; i < 20; i++) {
			for (int j = 0; j < running; j++) {
				this.limit.requestStarted(1, this.now);
			}
			this.now += nanos;
			for (int j = 0; j < running; j++) {
				this.limit.requestEnded(kind, 1, this.now);
			}
		}
	}

	@Test
	void growsWhileTheLimitIsReachedAndLatencyIsLow() {
		runRequests(FinishKind.ANSWERED, 20 * MILLI, 32);
		assertThat(this.limit.limit()).isGreaterThan(32);
	}

	@Test
	void staysUnchangedWhileTheLimitIsNotReached() {
		runRequests(FinishKind.ANSWERED, 20 * MILLI, 20);
		assertThat(this.limit.limit()).isEqualTo(32);
	}

	@Test
	void shrinksWhenRequestsTakeLonger() {
		runRequests(FinishKind.ANSWERED, 20 * MILLI, 20);
		runRequests(FinishKind.ANSWERED, 80 * MILLI, 32);
		assertThat(this.limit.limit()).isLessThan(32);
	}

	@Test
	void doesNotShrinkBelowTheMinimumConcurrency() {
		for (int i = 0; i < 20; i++) {
			runRequests(FinishKind.OVERLOADED, 20 * MILLI, 32);
		}
		assertThat(this.limit.limit()).isEqualTo(4);
	}

	@Test
	void growsAgainWhenLongerRunTimesAreNotCausedByTheLoad() {
		runRequests(FinishKind.ANSWERED, 20 * MILLI, 20);
		for (int i = 0; i < 100; i++) {
			runRequests(FinishKind.ANSWERED, 80 * MILLI, this.limit.limit());
		}
		assertThat(this.limit.limit()).isGreaterThan(32);
	}

}

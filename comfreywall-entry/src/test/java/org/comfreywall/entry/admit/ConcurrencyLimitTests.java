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
			new AdmissionSettings(QueueBounds.DEFAULT, 100, 4, 32, 1000, Duration.ofMillis(100), 1.5));

	private long now;

	private void window(FinishKind kind, long nanos, int running) {
		this.limit.running(running);
		for (int i = 0; i < 40; i++) {
			this.now += 10 * MILLI;
			this.limit.ended(kind, nanos, this.now);
		}
	}

	@Test
	void growsWhileReachedAndQuick() {
		window(FinishKind.ANSWERED, MILLI, 32);
		assertThat(this.limit.limit()).isGreaterThan(32);
	}

	@Test
	void staysWhileNotReached() {
		window(FinishKind.ANSWERED, MILLI, 3);
		assertThat(this.limit.limit()).isEqualTo(32);
	}

	@Test
	void shrinksWhenRequestsTakeLonger() {
		window(FinishKind.ANSWERED, MILLI, 3);
		window(FinishKind.ANSWERED, 4 * MILLI, 32);
		assertThat(this.limit.limit()).isLessThan(32);
	}

	@Test
	void shrinksNoFurtherThanTheLeastConcurrency() {
		for (int i = 0; i < 20; i++) {
			window(FinishKind.OVERLOADED, MILLI, 32);
		}
		assertThat(this.limit.limit()).isEqualTo(4);
	}

}

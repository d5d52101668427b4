package org.comfreywall.bench.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RateWindow}.
 */
class RateWindowTests {

	private static final long SECOND_NANOS = 1_000_000_000;

	private final RateWindow window = new RateWindow(10, 2);

	@Test
	void allowsTheBurstAndTheRateAfterIt() {
		this.window.spend(20, 0);
		this.window.spend(10, SECOND_NANOS);
		assertThat(this.window.worst()).isEqualTo(1);
	}

	@Test
	void detectsOneRequestAboveTheLimit() {
		this.window.spend(20, 0);
		this.window.spend(11, SECOND_NANOS);
		assertThat(this.window.worst()).isGreaterThan(1);
	}

	@Test
	void subtractsRefundsFromTheSpentAmount() {
		this.window.spend(20, 0);
		this.window.refund(5, 0);
		this.window.spend(5, 0);
		assertThat(this.window.worst()).isEqualTo(1);
	}

}

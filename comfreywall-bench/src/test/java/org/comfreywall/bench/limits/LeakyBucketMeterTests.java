package org.comfreywall.bench.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeakyBucketMeter}.
 */
class LeakyBucketMeterTests {

	private static final long SECOND_NANOS = 1_000_000_000;

	private final LeakyBucketMeter meter = new LeakyBucketMeter(10, 2);

	@Test
	void allowsTheBurstAndTheRateAfterIt() {
		this.meter.spend(20, 0);
		this.meter.spend(10, SECOND_NANOS);
		assertThat(this.meter.peakShare()).isEqualTo(1);
	}

	@Test
	void detectsOneRequestAboveTheLimit() {
		this.meter.spend(20, 0);
		this.meter.spend(11, SECOND_NANOS);
		assertThat(this.meter.peakShare()).isGreaterThan(1);
	}

	@Test
	void subtractsRefundsFromTheSpentAmount() {
		this.meter.spend(20, 0);
		this.meter.refund(5, 0);
		this.meter.spend(5, 0);
		assertThat(this.meter.peakShare()).isEqualTo(1);
	}

}

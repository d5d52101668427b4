package org.comfreywall.bench.limits;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that leased limits are neither exceeded nor starve an entry instance under random
 * faults.
 */
class RandomLimitsRunTests {

	private static final long SEED = 1;

	private static final long STEPS = 100_000;

	private static RandomLimitsResult result;

	@BeforeAll
	static void run() {
		result = new RandomLimitsRun(SEED).run(STEPS);
	}

	@Test
	void admitsNoMoreThanTheLimitInAnyWindow() {
		assertThat(result.peakRateShare()).isLessThanOrEqualTo(1);
		assertThat(result.peakInFlightShare()).isLessThanOrEqualTo(1);
	}

	@Test
	void leasesNoMoreThanTheLimit() {
		assertThat(result.peakLeaseShare()).isLessThanOrEqualTo(1);
	}

	@Test
	void starvesNoEntryOnceFaultsHaveEnded() {
		assertThat(result.starvationChecks()).isPositive();
		assertThat(result.starved()).isZero();
	}

	@Test
	void violatesNoInvariant() {
		assertThat(result.invariantViolations()).isZero();
	}

	@Test
	void injectsEachKindOfFault() {
		assertThat(result.admitted()).isPositive();
		assertThat(result.entryRestarts()).isPositive();
		assertThat(result.grantorRestarts()).isPositive();
		assertThat(result.partitionChanges()).isPositive();
	}

}

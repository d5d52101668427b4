package org.comfreywall.gateway.group;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link PassEstimator}.
 */
class PassEstimatorTests {

	private static final long MILLI = 1_000_000;

	private final PassEstimator estimator = new PassEstimator();

	@BeforeEach
	void passesOf50Millis() {
		for (int pass = 1; pass <= 20; pass++) {
			this.estimator.recordPassStart(pass, pass * 50 * MILLI);
			this.estimator.recordPassStart(pass, pass * 50 * MILLI + MILLI);
		}
	}

	@Test
	void measuresPassesByTheirFirstReport() {
		assertThat(this.estimator.averagePassNanos()).isCloseTo(50 * MILLI, within(1.0));
	}

	@Test
	void returnsTheNextPassEarlyInAPassAndTheOneAfterItLateInAPass() {
		assertThat(this.estimator.passAhead(1, 1010 * MILLI)).isEqualTo(21);
		assertThat(this.estimator.passAhead(1, 1040 * MILLI)).isEqualTo(22);
		assertThat(this.estimator.passAhead(1, 1060 * MILLI)).isEqualTo(22);
	}

	@Test
	void idleTimeIsNotMeasuredAsALongPass() {
		this.estimator.recordPassStart(21, 9_000 * MILLI);
		assertThat(this.estimator.averagePassNanos()).isCloseTo(50 * MILLI, within(1.0));
	}

	@Test
	void limitsTheEstimateForAnIdleGroup() {
		assertThat(this.estimator.passAhead(1, 60_000 * MILLI)).isLessThan(31);
	}

	@Test
	void restartsTheCountAfterTheGroupWasFormedAgain() {
		this.estimator.reset();
		this.estimator.recordPassStart(1, 2_000 * MILLI);
		assertThat(this.estimator.passAhead(1, 2_001 * MILLI)).isEqualTo(2);
	}

}

package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link PopularityEstimator}.
 */
class PopularityEstimatorTests {

	private static final int EXPERTS = 64;

	private final Random random = new Random(1);

	private final PopularityEstimator estimator = new PopularityEstimator(EstimatorSettings.DEFAULT, 1, EXPERTS);

	@Test
	void reportsNoChangeForNoise() {
		run(12, 1, 1);
		this.estimator.pollChanges();
		int changes = 0;
		for (int interval = 0; interval < 500; interval++) {
			run(1, 1, 1);
			changes += (this.estimator.pollChanges()[0]) ? 1 : 0;
		}
		assertThat(changes).isZero();
	}

	@Test
	void ignoresAChangeOfTheTotalLoad() {
		run(12, 1, 1);
		this.estimator.pollChanges();
		run(12, 3, 3);
		assertThat(this.estimator.pollChanges()[0]).isFalse();
	}

	@Test
	void detectsASuddenShiftWithinTwoIntervals() {
		run(20, 1, 1);
		this.estimator.pollChanges();
		run(2, 1, 3);
		assertThat(this.estimator.pollChanges()[0]).isTrue();
		double[] forecast = this.estimator.forecast()[0];
		assertThat(forecast[0] / forecast[1]).isCloseTo(3, within(0.3));
	}

	@Test
	void forecastsASlowTrend() {
		double first = 1;
		for (int interval = 0; interval < 60; interval++) {
			first *= 1.02;
			run(1, 1, first);
		}
		double[] forecast = this.estimator.forecast()[0];
		double others = Arrays.stream(forecast).skip(1).average().orElse(0);
		assertThat(forecast[0] / others).isCloseTo(first * 1.02, within(0.1 * first));
	}

	private void run(int intervals, double level, double firstExpert) {
		for (int interval = 0; interval < intervals; interval++) {
			double[] counts = new double[EXPERTS];
			Arrays.setAll(counts,
					(expert) -> 2000 * ((expert != 0) ? level : firstExpert) * (1 + 0.05 * this.random.nextGaussian()));
			this.estimator.observe(new double[][] { counts });
		}
	}

}

package org.comfreywall.group.placement;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the popularity estimator.
 *
 * @param fastWeight the weight of a new count in the fast moving average, above 0 up to 1
 * @param slowWeight the weight of a new count in the slow moving average, above 0 and
 * below {@code fastWeight}
 * @param horizonIntervals how far ahead popularity is forecast, in intervals
 * @param significance the number of standard deviations that a change must exceed to be
 * significant
 */
public record EstimatorSettings(double fastWeight, double slowWeight, double horizonIntervals, double significance) {

	/** The default settings. */
	public static final EstimatorSettings DEFAULT = new EstimatorSettings(0.3, 0.08, 1, 6);

	public EstimatorSettings {
		Preconditions.check(fastWeight > 0 && fastWeight <= 1, "fastWeight must be above 0 up to 1: %s", fastWeight);
		Preconditions.check(slowWeight > 0 && slowWeight < fastWeight,
				"slowWeight must be above 0 and below fastWeight: %s", slowWeight);
		Preconditions.check(horizonIntervals >= 0, "horizonIntervals must not be negative: %s", horizonIntervals);
		Preconditions.check(significance > 0, "significance must be positive: %s", significance);
	}

	/**
	 * Returns the weighted mean age of the counts in the fast average.
	 * @return the lag in intervals
	 */
	double fastLag() {
		return lag(this.fastWeight);
	}

	/**
	 * Returns the weighted mean age of the counts in the slow average.
	 * @return the lag in intervals
	 */
	double slowLag() {
		return lag(this.slowWeight);
	}

	private static double lag(double weight) {
		return (1 - weight) / weight;
	}

}

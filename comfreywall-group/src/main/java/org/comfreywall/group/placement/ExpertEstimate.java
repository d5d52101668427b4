package org.comfreywall.group.placement;

/**
 * Estimates the traffic of one expert by a fast and a slow exponential moving average,
 * and the variance of single counts around the fast one.
 * <p>
 * A level shift in the traffic restarts both averages. The forecast extrapolates the
 * trend given by the difference of the averages, and shrinks it towards the slow average
 * as that difference approaches the noise level.
 */
final class ExpertEstimate {

	private static final double OUTLIER_DEVIATIONS = 4;

	private static final double LEVEL_SHIFT_DEVIATIONS = 9;

	private static final double VARIANCE_WEIGHT = 0.04;

	private static final double MAX_RESIDUAL_DEVIATIONS = 3;

	private static final double INITIAL_RELATIVE_DEVIATION = 0.1;

	private static final double TREND_DEVIATIONS = 1;

	private final EstimatorSettings settings;

	private double fastAverage;

	private double slowAverage;

	private double variance;

	private long countsSinceRestart;

	private long totalCounts;

	private int lastOutlierDirection;

	private double lastCount;

	ExpertEstimate(EstimatorSettings settings) {
		this.settings = settings;
	}

	void observe(double count) {
		if (this.totalCounts++ == 0) {
			this.variance = poissonVariance(count) + square(INITIAL_RELATIVE_DEVIATION * count);
			restart(count);
			return;
		}
		double residual = count - this.fastAverage;
		if (isLevelShift(residual)) {
			restart(((this.lastOutlierDirection != 0) ? this.lastCount + count : 2 * count) / 2);
			return;
		}
		this.lastCount = count;
		updateVariance(residual);
		this.countsSinceRestart++;
		this.fastAverage += Math.max(this.settings.fastWeight(), 1.0 / this.countsSinceRestart) * residual;
		this.slowAverage += Math.max(this.settings.slowWeight(), 1.0 / this.countsSinceRestart)
				* (count - this.slowAverage);
	}

	// A level shift is one very unlikely count, or two successive unlikely counts in the
	// same direction.
	private boolean isLevelShift(double residual) {
		double deviation = Math.sqrt(this.variance * (1 + 1 / effectiveSampleSize(this.settings.fastWeight())));
		int direction = (Math.abs(residual) > OUTLIER_DEVIATIONS * deviation) ? (int) Math.signum(residual) : 0;
		boolean levelShift = Math.abs(residual) > LEVEL_SHIFT_DEVIATIONS * deviation
				|| (direction != 0 && direction == this.lastOutlierDirection);
		if (levelShift && direction != this.lastOutlierDirection) {
			this.lastOutlierDirection = 0;
		}
		else if (!levelShift) {
			this.lastOutlierDirection = direction;
		}
		return levelShift;
	}

	private void restart(double level) {
		this.fastAverage = level;
		this.slowAverage = level;
		this.countsSinceRestart = 1;
		this.lastOutlierDirection = 0;
		this.variance = Math.max(this.variance, poissonVariance(level));
	}

	private void updateVariance(double residual) {
		double clipped = Math.min(square(residual), square(MAX_RESIDUAL_DEVIATIONS) * this.variance);
		this.variance += VARIANCE_WEIGHT * (clipped - this.variance);
		this.variance = Math.max(this.variance, poissonVariance(this.fastAverage));
	}

	double forecast() {
		return Math.max(0, this.slowAverage + trendWeight() * (extrapolatedLevel() - this.slowAverage));
	}

	double fastAverage() {
		return this.fastAverage;
	}

	double forecastVariance() {
		double weight = trendWeight();
		double fastVariance = extrapolationVarianceFactor() * this.variance
				/ effectiveSampleSize(this.settings.fastWeight());
		double slowVariance = this.variance / effectiveSampleSize(this.settings.slowWeight());
		return square(weight) * fastVariance + square(1 - weight) * slowVariance;
	}

	private double extrapolatedLevel() {
		double slope = (this.fastAverage - this.slowAverage) / (this.settings.slowLag() - this.settings.fastLag());
		return this.fastAverage + slope * (this.settings.fastLag() + this.settings.horizonIntervals());
	}

	private double extrapolationVarianceFactor() {
		return square(1 + (this.settings.fastLag() + this.settings.horizonIntervals())
				/ (this.settings.slowLag() - this.settings.fastLag()));
	}

	// Returns the weight of the trend in the forecast, from 0 for noise to 1. The
	// shrinkage factor is 1 - noise variance / squared difference, at least 0.
	private double trendWeight() {
		double difference = square(this.fastAverage - this.slowAverage);
		double noise = this.variance / effectiveSampleSize(this.settings.fastWeight());
		return (difference > 0) ? Math.max(0, 1 - square(TREND_DEVIATIONS) * noise / difference) : 0;
	}

	private double effectiveSampleSize(double weight) {
		return Math.min(this.countsSinceRestart, (2 - weight) / weight);
	}

	private static double poissonVariance(double count) {
		return Math.max(1, count);
	}

	private static double square(double value) {
		return value * value;
	}

}

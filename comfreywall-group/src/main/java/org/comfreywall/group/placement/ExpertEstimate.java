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

	private static final double JUMP_DEVIATIONS = 4;

	private static final double LARGE_JUMP_DEVIATIONS = 9;

	private static final double VARIANCE_WEIGHT = 0.04;

	private static final double CLIPPED_DEVIATIONS = 3;

	private static final double FIRST_RELATIVE_DEVIATION = 0.1;

	private static final double TREND_DEVIATIONS = 1;

	private final EstimatorSettings settings;

	private double fast;

	private double slow;

	private double variance;

	private long counts;

	private long totalCounts;

	private int lastJump;

	private double lastCount;

	ExpertEstimate(EstimatorSettings settings) {
		this.settings = settings;
	}

	void observe(double count) {
		if (this.totalCounts++ == 0) {
			this.variance = poissonFloor(count) + square(FIRST_RELATIVE_DEVIATION * count);
			restart(count);
			return;
		}
		double residual = count - this.fast;
		if (isJump(residual)) {
			restart(((this.lastJump != 0) ? this.lastCount + count : 2 * count) / 2);
			return;
		}
		this.lastCount = count;
		learnVariance(residual);
		this.counts++;
		this.fast += Math.max(this.settings.fastWeight(), 1.0 / this.counts) * residual;
		this.slow += Math.max(this.settings.slowWeight(), 1.0 / this.counts) * (count - this.slow);
	}

	// A level shift is one very unlikely count, or two successive unlikely counts in the
	// same direction.
	private boolean isJump(double residual) {
		double deviation = Math.sqrt(this.variance * (1 + 1 / effectiveCounts(this.settings.fastWeight())));
		int direction = (Math.abs(residual) > JUMP_DEVIATIONS * deviation) ? (int) Math.signum(residual) : 0;
		boolean levelShift = Math.abs(residual) > LARGE_JUMP_DEVIATIONS * deviation
				|| (direction != 0 && direction == this.lastJump);
		if (levelShift && direction != this.lastJump) {
			this.lastJump = 0;
		}
		else if (!levelShift) {
			this.lastJump = direction;
		}
		return levelShift;
	}

	private void restart(double level) {
		this.fast = level;
		this.slow = level;
		this.counts = 1;
		this.lastJump = 0;
		this.variance = Math.max(this.variance, poissonFloor(level));
	}

	private void learnVariance(double residual) {
		double clipped = Math.min(square(residual), square(CLIPPED_DEVIATIONS) * this.variance);
		this.variance += VARIANCE_WEIGHT * (clipped - this.variance);
		this.variance = Math.max(this.variance, poissonFloor(this.fast));
	}

	double forecast() {
		return Math.max(0, this.slow + trendShare() * (trendLevel() - this.slow));
	}

	double fast() {
		return this.fast;
	}

	double forecastVariance() {
		double weight = trendShare();
		double fastVariance = trendFactor() * this.variance / effectiveCounts(this.settings.fastWeight());
		double slowVariance = this.variance / effectiveCounts(this.settings.slowWeight());
		return square(weight) * fastVariance + square(1 - weight) * slowVariance;
	}

	private double trendLevel() {
		double slope = (this.fast - this.slow) / (this.settings.slowLag() - this.settings.fastLag());
		return this.fast + slope * (this.settings.fastLag() + this.settings.horizonIntervals());
	}

	private double trendFactor() {
		return square(1 + (this.settings.fastLag() + this.settings.horizonIntervals())
				/ (this.settings.slowLag() - this.settings.fastLag()));
	}

	// Returns the weight of the trend in the forecast, from 0 for noise to 1. The
	// shrinkage factor is 1 - noise variance / squared difference, at least 0.
	private double trendShare() {
		double difference = square(this.fast - this.slow);
		double noise = this.variance / effectiveCounts(this.settings.fastWeight());
		return (difference > 0) ? Math.max(0, 1 - square(TREND_DEVIATIONS) * noise / difference) : 0;
	}

	private double effectiveCounts(double weight) {
		return Math.min(this.counts, (2 - weight) / weight);
	}

	private static double poissonFloor(double count) {
		return Math.max(1, count);
	}

	private static double square(double value) {
		return value * value;
	}

}

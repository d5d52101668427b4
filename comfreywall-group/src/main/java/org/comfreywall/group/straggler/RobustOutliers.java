package org.comfreywall.group.straggler;

import java.util.Arrays;

/**
 * Detects outliers by the distance from the median, in standard deviations estimated from
 * the median absolute deviation (MAD).
 *
 * @param ratios each value divided by the median; 0 for a missing value
 * @param deviation the estimated standard deviation of the ratios
 */
record RobustOutliers(double[] ratios, double deviation) {

	// Ratio of the standard deviation to the MAD for a normal distribution.
	private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

	private static final double MIN_DEVIATION = 0.01;

	static RobustOutliers of(double[] values) {
		double median = median(Arrays.stream(values).filter((value) -> value > 0).toArray());
		double[] ratios = Arrays.stream(values).map((value) -> (median > 0) ? value / median : 0).toArray();
		double[] distances = Arrays.stream(ratios)
			.filter((ratio) -> ratio > 0)
			.map((ratio) -> Math.abs(ratio - 1))
			.toArray();
		return new RobustOutliers(ratios, Math.max(MIN_DEVIATION, MAD_TO_STANDARD_DEVIATION * median(distances)));
	}

	double ratio(int index) {
		return this.ratios[index];
	}

	boolean isAbove(int index, double ratio, double deviations) {
		return this.ratios[index] >= ratio && this.ratios[index] - 1 >= deviations * this.deviation;
	}

	private static double median(double[] values) {
		if (values.length == 0) {
			return 0;
		}
		Arrays.sort(values);
		int middle = values.length / 2;
		return (values.length % 2 == 1) ? values[middle] : (values[middle - 1] + values[middle]) / 2;
	}

}

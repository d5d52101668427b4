package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Estimates the popularity of the experts of one layer, and detects when the forecast
 * differs significantly from a reference forecast.
 */
final class LayerEstimate {

	private final EstimatorSettings settings;

	private final ExpertEstimate[] experts;

	private final double[] reference;

	private final double[] referenceVariance;

	private double totalScale;

	LayerEstimate(EstimatorSettings settings, int experts) {
		this.settings = settings;
		this.experts = IntStream.range(0, experts)
			.mapToObj((expert) -> new ExpertEstimate(settings))
			.toArray(ExpertEstimate[]::new);
		this.reference = new double[experts];
		this.referenceVariance = new double[experts];
	}

	// Scales the counts to the total of the first interval: only a change in the relative
	// popularity of experts is a change, not one in the total load.
	void observe(double[] counts) {
		double total = Arrays.stream(counts).sum();
		if (total <= 0) {
			return;
		}
		this.totalScale = (this.totalScale > 0) ? this.totalScale : total;
		for (int expert = 0; expert < this.experts.length; expert++) {
			this.experts[expert].observe(counts[expert] * this.totalScale / total);
		}
	}

	/**
	 * Makes the current forecast the new reference if it differs significantly from the
	 * old one.
	 * @return {@code true} if the reference was replaced
	 */
	boolean updateReferenceIfChanged() {
		if (!isChanged()) {
			return false;
		}
		for (int expert = 0; expert < this.experts.length; expert++) {
			this.reference[expert] = this.experts[expert].forecast();
			this.referenceVariance[expert] = this.experts[expert].forecastVariance();
		}
		return true;
	}

	// Tests the largest normalised change of a single expert, and the sum of the squared
	// changes against the normal approximation of its chi-squared distribution.
	private boolean isChanged() {
		double largest = 0;
		double sum = 0;
		for (int expert = 0; expert < this.experts.length; expert++) {
			double change = this.experts[expert].forecast() - this.reference[expert];
			double variance = this.experts[expert].forecastVariance() + this.referenceVariance[expert];
			double square = (variance > 0) ? change * change / variance : 0;
			largest = Math.max(largest, square);
			sum += square;
		}
		double significance = this.settings.significance();
		int count = this.experts.length;
		return largest > significance * significance || sum > count + significance * Math.sqrt(2.0 * count);
	}

	double[] forecast() {
		return Arrays.stream(this.experts).mapToDouble(ExpertEstimate::forecast).toArray();
	}

	double[] smoothed() {
		return Arrays.stream(this.experts).mapToDouble(ExpertEstimate::fastAverage).toArray();
	}

}

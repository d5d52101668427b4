package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The popularity of the experts of one layer, published only when it changed beyond
 * noise.
 */
final class LayerEstimate {

	private final EstimatorSettings settings;

	private final ExpertEstimate[] experts;

	private final double[] published;

	private final double[] publishedVariance;

	private double referenceTotal;

	LayerEstimate(EstimatorSettings settings, int experts) {
		this.settings = settings;
		this.experts = IntStream.range(0, experts)
			.mapToObj((expert) -> new ExpertEstimate(settings))
			.toArray(ExpertEstimate[]::new);
		this.published = new double[experts];
		this.publishedVariance = new double[experts];
	}

	// Scales to the traffic of the first interval, so that only shares count as change.
	void observe(double[] counts) {
		double total = Arrays.stream(counts).sum();
		if (total <= 0) {
			return;
		}
		this.referenceTotal = (this.referenceTotal > 0) ? this.referenceTotal : total;
		for (int expert = 0; expert < this.experts.length; expert++) {
			this.experts[expert].observe(counts[expert] * this.referenceTotal / total);
		}
	}

	/**
	 * Publishes the present forecast if it differs from the published one beyond noise.
	 * @return {@code true} if it was published
	 */
	boolean publishIfChanged() {
		if (!isChanged()) {
			return false;
		}
		for (int expert = 0; expert < this.experts.length; expert++) {
			this.published[expert] = this.experts[expert].forecast();
			this.publishedVariance[expert] = this.experts[expert].forecastVariance();
		}
		return true;
	}

	// Tests the largest change of one expert and the sum of all changes.
	private boolean isChanged() {
		double largest = 0;
		double sum = 0;
		for (int expert = 0; expert < this.experts.length; expert++) {
			double change = this.experts[expert].forecast() - this.published[expert];
			double variance = this.experts[expert].forecastVariance() + this.publishedVariance[expert];
			double square = (variance > 0) ? change * change / variance : 0;
			largest = Math.max(largest, square);
			sum += square;
		}
		double significance = this.settings.significance();
		int count = this.experts.length;
		return largest > significance * significance || sum > count + significance * Math.sqrt(2.0 * count);
	}

	double[] published() {
		return this.published.clone();
	}

	double[] smoothed() {
		return Arrays.stream(this.experts).mapToDouble(ExpertEstimate::fast).toArray();
	}

}

package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.comfreywall.common.util.Preconditions;

/**
 * Estimates and forecasts the popularity of a group's experts from counts of their
 * traffic.
 * <p>
 * Memory is proportional to layers times experts.
 */
public final class PopularityEstimator {

	private final LayerEstimate[] layers;

	private final int experts;

	/**
	 * Creates an estimator.
	 * @param settings the settings
	 * @param layers the number of layers with experts
	 * @param experts the number of experts per layer
	 */
	public PopularityEstimator(EstimatorSettings settings, int layers, int experts) {
		Preconditions.notNull(settings, "settings");
		this.experts = experts;
		this.layers = IntStream.range(0, layers)
			.mapToObj((layer) -> new LayerEstimate(settings, experts))
			.toArray(LayerEstimate[]::new);
	}

	/**
	 * Adds the counts of one interval.
	 * @param counts the traffic of each expert in the interval, for each layer, in tokens
	 */
	public void observe(double[][] counts) {
		Preconditions.check(counts.length == this.layers.length, "counts must have %d layers: %d", this.layers.length,
				counts.length);
		for (int layer = 0; layer < counts.length; layer++) {
			Preconditions.check(counts[layer].length == this.experts, "counts must have %d experts: %d", this.experts,
					counts[layer].length);
			this.layers[layer].observe(counts[layer]);
		}
	}

	/**
	 * Returns which layers' forecasts changed beyond noise since the last call that
	 * reported them as changed. The forecast of a reported layer becomes the reference
	 * for the next calls.
	 * @return for each layer whether its forecast changed
	 */
	public boolean[] pollChanges() {
		boolean[] changed = new boolean[this.layers.length];
		for (int layer = 0; layer < changed.length; layer++) {
			changed[layer] = this.layers[layer].updateReferenceIfChanged();
		}
		return changed;
	}

	/**
	 * Returns the forecast traffic.
	 * @return for each layer, the traffic of each expert per interval in tokens
	 */
	public double[][] forecast() {
		return Arrays.stream(this.layers).map(LayerEstimate::forecast).toArray(double[][]::new);
	}

	/**
	 * Returns the fast moving average of the counts, without extrapolating the trend.
	 * @return for each layer, the traffic of each expert per interval in tokens
	 */
	public double[][] smoothed() {
		return Arrays.stream(this.layers).map(LayerEstimate::smoothed).toArray(double[][]::new);
	}

}

package org.comfreywall.common.config;

import java.util.Optional;

/**
 * Named placement weights to choose from.
 */
public enum PlacementPresets {

	/** Weighs step-time skew more heavily than bytes read. */
	PLUME(new PlacementWeights(100, 0.02)),
	/** Weighs bytes read more heavily than step-time skew. */
	POPELAR(new PlacementWeights(100, 3));

	private final PlacementWeights weights;

	PlacementPresets(PlacementWeights weights) {
		this.weights = weights;
	}

	/**
	 * Returns the weights.
	 * @return the prices by which placement plans are judged
	 */
	public PlacementWeights weights() {
		return this.weights;
	}

	/**
	 * Finds a preset by its name, in any case.
	 * @param name the name, such as {@code plume}
	 * @return the preset, or empty if there is none
	 */
	public static Optional<PlacementPresets> find(String name) {
		for (PlacementPresets preset : values()) {
			if (preset.name().equalsIgnoreCase(name)) {
				return Optional.of(preset);
			}
		}
		return Optional.empty();
	}

}

package org.comfreywall.common.config;

import java.util.Optional;

/**
 * Named presets of placement weights.
 */
public enum PlacementPreset {

	/** Favours low step-time skew over few bytes read. */
	PLUME(new PlacementWeights(100, 0.02)),
	/** Favours few bytes read over low step-time skew. */
	POPELAR(new PlacementWeights(100, 3));

	private final PlacementWeights weights;

	PlacementPreset(PlacementWeights weights) {
		this.weights = weights;
	}

	/**
	 * Returns the weights.
	 * @return the cost weights of placement plans
	 */
	public PlacementWeights weights() {
		return this.weights;
	}

	/**
	 * Finds a preset by its name, ignoring case.
	 * @param name the name, such as {@code plume}
	 * @return the preset, or empty if there is none
	 */
	public static Optional<PlacementPreset> find(String name) {
		for (PlacementPreset preset : values()) {
			if (preset.name().equalsIgnoreCase(name)) {
				return Optional.of(preset);
			}
		}
		return Optional.empty();
	}

}

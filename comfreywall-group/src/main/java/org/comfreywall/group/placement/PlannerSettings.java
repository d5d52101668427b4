package org.comfreywall.group.placement;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the placement planner.
 *
 * @param weights the price of one unit of skew and of one gibibyte read
 * @param storeBytesPerSecond the weight store's rate in bytes per second
 * @param maximumPlanBytes the maximum number of bytes that one plan may read; reads that
 * restore lost copies or fill an empty layer may exceed it
 * @param maximumSteps the maximum number of exchanges per layer
 */
public record PlannerSettings(PlacementWeights weights, double storeBytesPerSecond, long maximumPlanBytes,
		int maximumSteps) {

	/** The default maximum number of exchanges per layer. */
	public static final int DEFAULT_MAXIMUM_STEPS = 64;

	public PlannerSettings {
		Preconditions.notNull(weights, "weights");
		Preconditions.check(storeBytesPerSecond > 0, "storeBytesPerSecond must be positive: %s", storeBytesPerSecond);
		Preconditions.check(maximumPlanBytes >= 0, "maximumPlanBytes must not be negative: %d", maximumPlanBytes);
		Preconditions.check(maximumSteps >= 1, "maximumSteps must be at least 1: %d", maximumSteps);
	}

	/**
	 * Creates settings with no limit on the bytes of a plan.
	 * @param weights the price of one unit of skew and of one gibibyte read
	 * @param storeBytesPerSecond the weight store's rate in bytes per second
	 * @return the settings
	 */
	public static PlannerSettings of(PlacementWeights weights, double storeBytesPerSecond) {
		return new PlannerSettings(weights, storeBytesPerSecond, Long.MAX_VALUE, DEFAULT_MAXIMUM_STEPS);
	}

}

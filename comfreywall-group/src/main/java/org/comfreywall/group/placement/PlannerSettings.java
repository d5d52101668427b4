package org.comfreywall.group.placement;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the placement planner.
 *
 * @param weights the prices of skew and of bytes read
 * @param storeBytesPerSecond the weight store's rate in bytes a second
 * @param maximumPlanBytes the most bytes that one plan may read, but for copies that were
 * lost
 * @param maximumSteps the most exchanges tried for one layer
 */
public record PlannerSettings(PlacementWeights weights, double storeBytesPerSecond, long maximumPlanBytes,
		int maximumSteps) {

	/** Exchanges tried for one layer unless set otherwise. */
	public static final int DEFAULT_MAXIMUM_STEPS = 64;

	public PlannerSettings {
		Preconditions.notNull(weights, "weights");
		Preconditions.check(storeBytesPerSecond > 0, "storeBytesPerSecond must be positive: %s", storeBytesPerSecond);
		Preconditions.check(maximumPlanBytes >= 0, "maximumPlanBytes must not be negative: %d", maximumPlanBytes);
		Preconditions.check(maximumSteps >= 1, "maximumSteps must be at least 1: %d", maximumSteps);
	}

	/**
	 * Creates settings without a bound on the bytes of a plan.
	 * @param weights the prices of skew and of bytes read
	 * @param storeBytesPerSecond the weight store's rate in bytes a second
	 * @return the settings
	 */
	public static PlannerSettings of(PlacementWeights weights, double storeBytesPerSecond) {
		return new PlannerSettings(weights, storeBytesPerSecond, Long.MAX_VALUE, DEFAULT_MAXIMUM_STEPS);
	}

}

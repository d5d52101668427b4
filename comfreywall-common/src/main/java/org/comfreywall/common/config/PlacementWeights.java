package org.comfreywall.common.config;

import org.comfreywall.common.util.Preconditions;

/**
 * Prices by which a placement plan is judged.
 *
 * @param skewWeight cost of one unit of expected step-time skew above 1
 * @param moveWeight cost of one gibibyte read from the weight store
 */
public record PlacementWeights(double skewWeight, double moveWeight) {

	public PlacementWeights {
		Preconditions.check(skewWeight >= 0, "skewWeight must not be negative: %s", skewWeight);
		Preconditions.check(moveWeight >= 0, "moveWeight must not be negative: %s", moveWeight);
	}

}

package org.comfreywall.common.config;

import org.comfreywall.common.util.Preconditions;

/**
 * Weights of the cost function by which placement plans are compared.
 *
 * @param skewWeight the cost per unit of expected step-time skew above 1
 * @param moveWeight the cost per GiB read from the weight store
 */
public record PlacementWeights(double skewWeight, double moveWeight) {

	public PlacementWeights {
		Preconditions.check(skewWeight >= 0, "skewWeight must not be negative: %s", skewWeight);
		Preconditions.check(moveWeight >= 0, "moveWeight must not be negative: %s", moveWeight);
	}

}

package org.comfreywall.group.placement;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.util.Preconditions;

/**
 * The price of a plan, compared with that of keeping the current placement.
 *
 * @param skewBefore the forecast step-time skew of the current placement
 * @param skewForecast the forecast step-time skew of the plan
 * @param skewBound a lower bound of the skew of any placement in the group's slots
 * @param bytes the number of bytes to read from the weight store
 * @param storeSeconds the time in seconds to read them at the weight store's rate
 * @param weights the price of one unit of skew and of one gibibyte read
 */
public record PlanPrice(double skewBefore, double skewForecast, double skewBound, long bytes, double storeSeconds,
		PlacementWeights weights) {

	static final double GIBIBYTE = 1L << 30;

	public PlanPrice {
		Preconditions.check(bytes >= 0, "bytes must not be negative: %d", bytes);
		Preconditions.notNull(weights, "weights");
	}

	/**
	 * Returns the price of keeping the current placement.
	 * @return the weighted skew
	 */
	public double priceBefore() {
		return this.weights.skewWeight() * this.skewBefore;
	}

	/**
	 * Returns the price of the plan.
	 * @return the sum of the weighted skew and the weighted gibibytes read
	 */
	public double priceAfter() {
		return this.weights.skewWeight() * this.skewForecast + this.weights.moveWeight() * this.bytes / GIBIBYTE;
	}

}

package org.comfreywall.group.placement;

import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.util.Preconditions;

/**
 * The price of a plan beside that of staying.
 *
 * @param skewBefore the forecast step-time skew of the present placement
 * @param skewForecast the forecast step-time skew of the plan
 * @param skewBound a skew that no placement of the group's slots can go below
 * @param bytes the bytes read from the weight store
 * @param storeSeconds the time that the weight store needs for them, in seconds
 * @param weights the prices of skew and of bytes read
 */
public record PlanPrice(double skewBefore, double skewForecast, double skewBound, long bytes, double storeSeconds,
		PlacementWeights weights) {

	static final double GIBIBYTE = 1L << 30;

	public PlanPrice {
		Preconditions.check(bytes >= 0, "bytes must not be negative: %d", bytes);
		Preconditions.notNull(weights, "weights");
	}

	/**
	 * Returns the price of staying.
	 * @return the weighted skew
	 */
	public double before() {
		return this.weights.skewWeight() * this.skewBefore;
	}

	/**
	 * Returns the price of the plan.
	 * @return the weighted skew and bytes
	 */
	public double after() {
		return this.weights.skewWeight() * this.skewForecast + this.weights.moveWeight() * this.bytes / GIBIBYTE;
	}

}

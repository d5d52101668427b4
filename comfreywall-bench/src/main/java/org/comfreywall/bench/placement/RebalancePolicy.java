package org.comfreywall.bench.placement;

import org.comfreywall.group.placement.Placement;

/**
 * Decides after each interval which placement the next interval uses.
 */
interface RebalancePolicy {

	/**
	 * Returns the name under which results are printed.
	 * @return the name
	 */
	String name();

	/**
	 * Takes in the counts of an interval without planning.
	 * @param counts the traffic of each expert, for each layer
	 */
	void observe(double[][] counts);

	/**
	 * Plans the next interval.
	 * @param present the present placement
	 * @param speeds the speeds of the ranks as estimated from the intervals so far
	 * @return the placement of the next interval
	 */
	Placement plan(Placement present, double[] speeds);

}

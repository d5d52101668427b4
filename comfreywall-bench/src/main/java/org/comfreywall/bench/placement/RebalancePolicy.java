package org.comfreywall.bench.placement;

import org.comfreywall.group.placement.Placement;

/**
 * Decides, between two intervals, on the placement for the next one.
 */
interface RebalancePolicy {

	/**
	 * Returns the name under which results are printed.
	 * @return the name
	 */
	String name();

	/**
	 * Records the counts of an interval.
	 * @param counts the traffic of each expert in the interval, for each layer, in tokens
	 */
	void observe(double[][] counts);

	/**
	 * Plans the placement for the next interval.
	 * @param current the current placement
	 * @param speeds the estimated speed of each rank, 1 for a healthy one
	 * @return the placement of the next interval
	 */
	Placement plan(Placement current, double[] speeds);

}

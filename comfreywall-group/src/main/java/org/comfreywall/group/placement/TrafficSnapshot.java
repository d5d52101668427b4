package org.comfreywall.group.placement;

/**
 * A saved split of one layer's traffic, refilled in place to spare allocations.
 *
 * @param flows the traffic of each position
 * @param loads the traffic of each rank
 */
record TrafficSnapshot(double[] flows, double[] loads) {

	TrafficSnapshot(int positions, int ranks) {
		this(new double[positions], new double[ranks]);
	}

}

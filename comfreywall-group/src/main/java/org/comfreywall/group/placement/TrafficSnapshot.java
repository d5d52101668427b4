package org.comfreywall.group.placement;

/**
 * A saved distribution of one layer's traffic, reused between trials of the search to
 * avoid allocations.
 *
 * @param flows the traffic of each position
 * @param loads the traffic of each rank
 */
record TrafficSnapshot(double[] flows, double[] loads) {

	TrafficSnapshot(int positions, int ranks) {
		this(new double[positions], new double[ranks]);
	}

}

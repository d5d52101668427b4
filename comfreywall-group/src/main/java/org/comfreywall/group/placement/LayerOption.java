package org.comfreywall.group.placement;

/**
 * A candidate placement of one layer.
 *
 * @param experts the expert of each position, or {@link Placement#EMPTY}
 * @param reads the number of experts to read from the weight store
 * @param slowestTime the forecast time of the slowest rank, in units of traffic at speed
 * 1
 */
record LayerOption(int[] experts, int reads, double slowestTime) {

	double price(double skewCost, double readCost) {
		return skewCost * this.slowestTime + readCost * this.reads;
	}

}

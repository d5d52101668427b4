package org.comfreywall.group.placement;

/**
 * One way to place a layer.
 *
 * @param experts the expert of each position
 * @param reads the number of experts read from the weight store
 * @param slowest the forecast time of the slowest rank
 */
record LayerOption(int[] experts, int reads, double slowest) {

	double price(double skewCost, double readCost) {
		return skewCost * this.slowest + readCost * this.reads;
	}

}

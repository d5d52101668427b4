package org.comfreywall.gateway.group;

import java.util.Arrays;

import org.comfreywall.common.util.Preconditions;

/**
 * The load of a group's experts and the slowdown of its ranks, which a plan is computed
 * from.
 *
 * @param choiceCounts the number of times that each expert was chosen, by set of layers
 * and expert; only the ratios within a set matter
 * @param slowdowns the slowdown factor of each rank against its usual time; 1 if it is
 * healthy
 */
record ExpertDemand(double[][] choiceCounts, double[] slowdowns) {

	ExpertDemand {
		Preconditions.notNull(choiceCounts, "chosen");
		Preconditions.notNull(slowdowns, "slowdown");
	}

	/**
	 * Creates the demand for a group whose ranks are all healthy.
	 * @param choiceCounts the number of choices, by set of layers and expert
	 * @param ranks the number of ranks
	 * @return the demand
	 */
	static ExpertDemand onHealthyRanks(double[][] choiceCounts, int ranks) {
		double[] slowdowns = new double[ranks];
		Arrays.fill(slowdowns, 1);
		return new ExpertDemand(choiceCounts, slowdowns);
	}

}

package org.comfreywall.gateway.group;

import java.util.Arrays;

import org.comfreywall.common.util.Preconditions;

/**
 * The load of a group's experts, with the slowdown of its ranks.
 *
 * @param chosen how often each expert is chosen, by set and expert
 * @param slowdown the slowdown factor of each rank against its usual time; 1 if it is
 * healthy
 */
record ExpertDemand(double[][] chosen, double[] slowdown) {

	ExpertDemand {
		Preconditions.notNull(chosen, "chosen");
		Preconditions.notNull(slowdown, "slowdown");
	}

	/**
	 * Creates the demand for a group whose ranks are all healthy.
	 * @param chosen how often each expert is chosen, by set and expert
	 * @param ranks the number of ranks
	 * @return the demand
	 */
	static ExpertDemand onHealthyRanks(double[][] chosen, int ranks) {
		double[] slowdown = new double[ranks];
		Arrays.fill(slowdown, 1);
		return new ExpertDemand(chosen, slowdown);
	}

}

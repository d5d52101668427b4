package org.comfreywall.gateway.config;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Dimensions and cost model of the engines of a service whose backend servers are the
 * ranks of expert-parallel groups.
 *
 * @param layerSets the number of sets of layers, each with its own expert map
 * @param experts the number of experts of a set
 * @param placesPerRank the most experts that one rank may hold in one set
 * @param newPerSwitch the most experts of one set that one switch may add to a rank
 * @param expertShare the share of the time per token that the experts take, from 0 to 1
 * @param stepBase the fixed time of a token step, without any request
 * @param stepPerRequest the time that each generating request adds to a token step
 * @param stride the number of token steps in a pass
 * @param expertCopy the time that a rank takes to copy one expert
 */
public record EngineShape(int layerSets, int experts, int placesPerRank, int newPerSwitch, double expertShare,
		Duration stepBase, Duration stepPerRequest, int stride, Duration expertCopy) {

	public EngineShape {
		Preconditions.check(layerSets >= 1, "layerSets must be at least 1: %d", layerSets);
		Preconditions.check(experts >= 1, "experts must be at least 1: %d", experts);
		Preconditions.check(placesPerRank >= 1, "placesPerRank must be at least 1: %d", placesPerRank);
		Preconditions.check(newPerSwitch >= 0, "newPerSwitch must not be negative: %d", newPerSwitch);
		Preconditions.notNull(stepBase, "stepBase");
		Preconditions.notNull(stepPerRequest, "stepPerRequest");
		Preconditions.notNull(expertCopy, "expertCopy");
	}

	/**
	 * Returns the duration of a pass without any request.
	 * @return the duration
	 */
	public Duration passBase() {
		return this.stepBase.multipliedBy(this.stride);
	}

}

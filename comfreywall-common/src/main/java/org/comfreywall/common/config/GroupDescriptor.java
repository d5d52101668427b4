package org.comfreywall.common.config;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Configuration of an expert-parallel group.
 *
 * @param id the group
 * @param service the model that the group serves
 * @param ranks the number of ranks
 * @param experts the number of experts per layer
 * @param layers the number of layers with experts
 * @param slotsPerRank the number of experts per layer that fit into a rank's memory
 * @param weights the cost weights of placement plans
 * @param engineChecksFencing whether the engines themselves reject commands with stale
 * fencing numbers
 */
public record GroupDescriptor(GroupId id, ServiceId service, int ranks, int experts, int layers, int slotsPerRank,
		PlacementWeights weights, boolean engineChecksFencing) {

	public GroupDescriptor {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(weights, "weights");
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		Preconditions.check(experts >= 1, "experts must be at least 1: %d", experts);
		Preconditions.check(layers >= 1, "layers must be at least 1: %d", layers);
		Preconditions.check((long) slotsPerRank * ranks >= experts,
				"slotsPerRank * ranks must be at least experts: %d slots for %d experts", (long) slotsPerRank * ranks,
				experts);
	}

}

package org.comfreywall.group.map;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Placement of the expert replicas of one layer.
 *
 * @param replicas the replicas of each expert, indexed by expert; each expert has at
 * least one
 */
public record LayerMap(List<List<Replica>> replicas) {

	public LayerMap {
		Preconditions.notNull(replicas, "replicas");
		Preconditions.check(!replicas.isEmpty(), "replicas must contain at least one expert");
		replicas = replicas.stream().map(List::copyOf).toList();
		for (int expert = 0; expert < replicas.size(); expert++) {
			Preconditions.check(!replicas.get(expert).isEmpty(),
					"replicas must contain at least one replica of expert %d", expert);
		}
	}

	/**
	 * Returns the number of experts.
	 * @return the count
	 */
	public int experts() {
		return this.replicas.size();
	}

	/**
	 * Returns the replicas of one expert.
	 * @param expert the expert's index
	 * @return its replicas, at least one
	 */
	public List<Replica> replicasOf(int expert) {
		return this.replicas.get(expert);
	}

}

package org.comfreywall.group.map;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Places the experts of one layer.
 *
 * @param replicas the copies of each expert, indexed by expert; each expert has at least
 * one copy
 */
public record LayerMap(List<List<Replica>> replicas) {

	public LayerMap {
		Preconditions.notNull(replicas, "replicas");
		Preconditions.check(!replicas.isEmpty(), "replicas must name at least one expert");
		replicas = replicas.stream().map(List::copyOf).toList();
		for (int expert = 0; expert < replicas.size(); expert++) {
			Preconditions.check(!replicas.get(expert).isEmpty(), "replicas must hold a copy of expert %d", expert);
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
	 * Returns the copies of one expert.
	 * @param expert the expert's index
	 * @return its copies, at least one
	 */
	public List<Replica> of(int expert) {
		return this.replicas.get(expert);
	}

}

package org.comfreywall.group.map;

import org.comfreywall.common.util.Preconditions;

/**
 * A replica of an expert on one rank.
 *
 * @param rank the rank that holds the replica, zero or greater
 * @param slot the index of the expert slot within the rank's memory for the layer, zero
 * or greater
 * @param weight the share of the expert's traffic, relative to the weights of the
 * expert's other replicas, at least 1
 */
public record Replica(int rank, int slot, int weight) {

	public Replica {
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.check(slot >= 0, "slot must not be negative: %d", slot);
		Preconditions.check(weight >= 1, "weight must be at least 1: %d", weight);
	}

	/**
	 * Creates a replica of weight 1.
	 * @param rank the rank that holds the replica, zero or greater
	 * @param slot the index of the expert slot within the rank's memory for the layer,
	 * zero or greater
	 * @return the replica
	 */
	public static Replica of(int rank, int slot) {
		return new Replica(rank, slot, 1);
	}

}

package org.comfreywall.group.map;

import org.comfreywall.common.util.Preconditions;

/**
 * One copy of an expert.
 *
 * @param rank the rank that holds the copy, zero or greater
 * @param slot the position in the rank's memory for the layer, zero or greater
 * @param weight the copy's share of the expert's traffic relative to the weights of its
 * other copies, at least 1
 */
public record Replica(int rank, int slot, int weight) {

	public Replica {
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.check(slot >= 0, "slot must not be negative: %d", slot);
		Preconditions.check(weight >= 1, "weight must be at least 1: %d", weight);
	}

	/**
	 * Creates a replica that takes an equal share of the traffic.
	 * @param rank the rank that holds the copy
	 * @param slot the position in the rank's memory for the layer
	 * @return the replica
	 */
	public static Replica of(int rank, int slot) {
		return new Replica(rank, slot, 1);
	}

}

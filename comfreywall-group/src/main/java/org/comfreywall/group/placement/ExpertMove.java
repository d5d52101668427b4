package org.comfreywall.group.placement;

import org.comfreywall.common.util.Preconditions;

/**
 * One read from the weight store that puts a copy of an expert into a slot.
 *
 * @param layer the layer
 * @param rank the rank that reads
 * @param slot the slot of the rank
 * @param expert the expert whose weights are read
 * @param bytes the size of the weights in bytes
 * @param worth the fall of the forecast step-time skew that the move takes part in, for
 * each move of its layer alike
 */
public record ExpertMove(int layer, int rank, int slot, int expert, long bytes, double worth) {

	public ExpertMove {
		Preconditions.check(layer >= 0, "layer must not be negative: %d", layer);
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.check(slot >= 0, "slot must not be negative: %d", slot);
		Preconditions.check(expert >= 0, "expert must not be negative: %d", expert);
		Preconditions.check(bytes >= 1, "bytes must be at least 1: %d", bytes);
	}

	/**
	 * Returns the worth of the move for each byte that it reads.
	 * @return the fall of skew a byte
	 */
	public double worthPerByte() {
		return this.worth / this.bytes;
	}

}

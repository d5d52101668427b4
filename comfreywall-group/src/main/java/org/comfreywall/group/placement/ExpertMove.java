package org.comfreywall.group.placement;

import org.comfreywall.common.util.Preconditions;

/**
 * A read from the weight store that loads a copy of an expert into a slot.
 *
 * @param layer the index of the layer
 * @param rank the rank that reads the weights
 * @param slot the index of the slot on the rank
 * @param expert the index of the expert in its layer
 * @param bytes the size of the weights in bytes
 * @param gain the move's share of the reduction in forecast step-time skew; the reduction
 * in a layer is divided equally among the layer's moves
 */
public record ExpertMove(int layer, int rank, int slot, int expert, long bytes, double gain) {

	public ExpertMove {
		Preconditions.check(layer >= 0, "layer must not be negative: %d", layer);
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.check(slot >= 0, "slot must not be negative: %d", slot);
		Preconditions.check(expert >= 0, "expert must not be negative: %d", expert);
		Preconditions.check(bytes >= 1, "bytes must be at least 1: %d", bytes);
	}

	/**
	 * Returns the reduction in forecast step-time skew per byte read.
	 * @return the reduction per byte
	 */
	public double gainPerByte() {
		return this.gain / this.bytes;
	}

}

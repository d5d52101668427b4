package org.comfreywall.group.placement;

import java.util.Arrays;

import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.util.Preconditions;

/**
 * The fixed dimensions of a group: layers, experts, and the slots and failure domain of
 * each rank.
 * <p>
 * A slot holds one expert of one layer. A rank has the same number of slots in every
 * layer; a rank without slots holds no expert.
 */
public final class GroupShape {

	private final int layers;

	private final int experts;

	private final int[] slots;

	private final int[] domains;

	private final long expertBytes;

	private final int stride;

	private GroupShape(int layers, int experts, int[] slots, int[] domains, long expertBytes) {
		this.layers = layers;
		this.experts = experts;
		this.slots = slots;
		this.domains = domains;
		this.expertBytes = expertBytes;
		this.stride = Arrays.stream(slots).max().orElse(0);
	}

	/**
	 * Creates a shape.
	 * @param layers the number of layers with experts, at least 1
	 * @param experts the number of experts per layer, at least 1
	 * @param slots the number of slots per layer of each rank; slots beyond the number of
	 * experts are ignored
	 * @param domains the index of the failure domain of each rank
	 * @param expertBytes the size of one expert's weights in bytes, at least 1
	 * @return the shape
	 */
	public static GroupShape of(int layers, int experts, int[] slots, int[] domains, long expertBytes) {
		Preconditions.check(layers >= 1, "layers must be at least 1: %d", layers);
		Preconditions.check(experts >= 1, "experts must be at least 1: %d", experts);
		Preconditions.check(slots.length == domains.length, "domains must have one entry for each of %d ranks",
				slots.length);
		Preconditions.check(expertBytes >= 1, "expertBytes must be at least 1: %d", expertBytes);
		int[] usable = Arrays.stream(slots).map((count) -> Math.min(count, experts)).toArray();
		Preconditions.check(Arrays.stream(usable).allMatch((count) -> count >= 0), "slots must not be negative");
		Preconditions.check(Arrays.stream(usable).asLongStream().sum() >= experts,
				"slots must hold %d experts per layer", experts);
		return new GroupShape(layers, experts, usable, domains.clone(), expertBytes);
	}

	/**
	 * Creates a shape from a group's descriptor and the memory available on its ranks.
	 * @param group the group
	 * @param memoryBytes the memory for experts on each rank in bytes; 0 for a rank that
	 * must not hold experts
	 * @param domains the index of the failure domain of each rank
	 * @param expertBytes the size of one expert's weights in bytes
	 * @return the shape; a rank has as many slots as fit its memory, up to the
	 * descriptor's slots per rank
	 */
	public static GroupShape of(GroupDescriptor group, long[] memoryBytes, int[] domains, long expertBytes) {
		Preconditions.check(memoryBytes.length == group.ranks(), "memoryBytes must have one entry for each of %d ranks",
				group.ranks());
		Preconditions.check(expertBytes >= 1, "expertBytes must be at least 1: %d", expertBytes);
		long bytesPerSlot = expertBytes * group.layers();
		int[] slots = Arrays.stream(memoryBytes)
			.mapToInt((bytes) -> (int) Math.min(group.slotsPerRank(), bytes / bytesPerSlot))
			.toArray();
		return of(group.layers(), group.experts(), slots, domains, expertBytes);
	}

	/**
	 * Returns the number of layers with experts.
	 * @return the count
	 */
	public int layers() {
		return this.layers;
	}

	/**
	 * Returns the number of experts per layer.
	 * @return the count
	 */
	public int experts() {
		return this.experts;
	}

	/**
	 * Returns the number of ranks.
	 * @return the count
	 */
	public int ranks() {
		return this.slots.length;
	}

	/**
	 * Returns the number of slots per layer of a rank.
	 * @param rank the rank
	 * @return the count
	 */
	public int slots(int rank) {
		return this.slots[rank];
	}

	/**
	 * Returns the failure domain of a rank.
	 * @param rank the rank
	 * @return the failure domain's index
	 */
	public int domain(int rank) {
		return this.domains[rank];
	}

	/**
	 * Returns the size of one expert's weights.
	 * @return the size in bytes
	 */
	public long expertBytes() {
		return this.expertBytes;
	}

	/**
	 * Returns the maximum number of slots per layer of any rank. The positions of rank
	 * {@code r} start at {@code r * stride}.
	 * @return the count
	 */
	public int stride() {
		return this.stride;
	}

	/**
	 * Returns the number of slots per layer of all ranks together.
	 * @return the count
	 */
	public int totalSlots() {
		return Arrays.stream(this.slots).sum();
	}

	/**
	 * Returns the strongest spread for which the slots suffice.
	 * @return the spread that every expert can have
	 */
	public CopySpread spread() {
		int[] slotsOfDomain = new int[Arrays.stream(this.domains).max().orElse(0) + 1];
		for (int rank = 0; rank < ranks(); rank++) {
			slotsOfDomain[this.domains[rank]] += this.slots[rank];
		}
		if (twoCopiesFit(slotsOfDomain)) {
			return CopySpread.FAILURE_DOMAINS;
		}
		return twoCopiesFit(this.slots) ? CopySpread.RANKS : CopySpread.NONE;
	}

	private boolean twoCopiesFit(int[] capacities) {
		return Arrays.stream(capacities).mapToLong((count) -> Math.min(count, this.experts)).sum() >= 2L * this.experts;
	}

}

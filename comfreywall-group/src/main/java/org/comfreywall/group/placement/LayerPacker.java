package org.comfreywall.group.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Fills an empty layer greedily: first the copies required by the spread, then additional
 * copies of the hottest experts until no slot is free.
 */
final class LayerPacker {

	private final LayerState state;

	private final GroupShape shape;

	private final CopySpread spread;

	private final int[] copyTargets;

	private final double[] packedTimes;

	private LayerPacker(LayerState state, CopySpread spread) {
		this.state = state;
		this.shape = state.shape();
		this.spread = spread;
		this.copyTargets = new int[this.shape.experts()];
		this.packedTimes = new double[this.shape.ranks()];
	}

	static void pack(LayerState state, CopySpread spread) {
		new LayerPacker(state, spread).pack();
	}

	private void pack() {
		chooseCopyTargets();
		List<Integer> hottestFirst = IntStream.range(0, this.copyTargets.length)
			.boxed()
			.sorted(Comparator.comparingDouble(this::copyLoad).reversed())
			.toList();
		hottestFirst.forEach(this::placeRequiredCopies);
		hottestFirst.forEach(this::placeExtraCopies);
		fillFreeSlots(hottestFirst);
	}

	private void chooseCopyTargets() {
		int ranks = (int) IntStream.range(0, this.shape.ranks()).filter((rank) -> this.shape.slots(rank) > 0).count();
		int minimum = this.spread.minimumCopies();
		Arrays.fill(this.copyTargets, minimum);
		int spare = this.shape.totalSlots() - minimum * this.copyTargets.length;
		for (; spare > 0; spare--) {
			int hottest = hottestWithFewerCopies(ranks);
			if (hottest < 0) {
				return;
			}
			this.copyTargets[hottest]++;
		}
	}

	private int hottestWithFewerCopies(int maximumCopies) {
		int hottest = -1;
		for (int expert = 0; expert < this.copyTargets.length; expert++) {
			if (this.copyTargets[expert] < maximumCopies && (hottest < 0 || copyLoad(expert) > copyLoad(hottest))) {
				hottest = expert;
			}
		}
		return hottest;
	}

	private double copyLoad(int expert) {
		return this.state.popularity(expert) / this.copyTargets[expert];
	}

	private void placeRequiredCopies(int expert) {
		if (this.spread == CopySpread.NONE) {
			place(expert, leastLoadedRank((rank) -> true));
			return;
		}
		int first = leastLoadedInFreestDomain((rank) -> true);
		place(expert, first);
		place(expert, leastLoadedInFreestDomain((rank) -> domainOf(rank) != domainOf(first)));
	}

	// Returns the index of the rank or failure domain that may hold only one of the two
	// required copies, depending on the spread.
	private int domainOf(int rank) {
		return (this.spread == CopySpread.FAILURE_DOMAINS) ? this.shape.domain(rank) : rank;
	}

	// Picks from the domain with the most free slots. Filling domains evenly keeps free
	// slots in two of them for the remaining experts.
	private int leastLoadedInFreestDomain(IntPredicate allowed) {
		int[] free = new int[this.shape.ranks()
				+ IntStream.range(0, this.shape.ranks()).map(this::domainOf).max().orElse(0)];
		IntStream.range(0, this.shape.ranks()).forEach((rank) -> free[domainOf(rank)] += freeSlots(rank));
		int most = IntStream.range(0, this.shape.ranks())
			.filter(allowed)
			.map((rank) -> free[domainOf(rank)])
			.max()
			.orElse(0);
		return leastLoadedRank((rank) -> allowed.test(rank) && free[domainOf(rank)] == most);
	}

	private int freeSlots(int rank) {
		int from = rank * this.shape.stride();
		return (int) IntStream.range(from, from + this.shape.slots(rank))
			.filter((position) -> this.state.expertAt(position) == Placement.EMPTY)
			.count();
	}

	private void placeExtraCopies(int expert) {
		while (this.state.copyCount(expert) < this.copyTargets[expert]) {
			int rank = leastLoadedRank((candidate) -> !this.state.holds(candidate, expert));
			if (rank < 0) {
				return;
			}
			place(expert, rank);
		}
	}

	private void fillFreeSlots(List<Integer> hottestFirst) {
		for (int rank = 0; rank < this.shape.ranks(); rank++) {
			int target = rank;
			hottestFirst.stream()
				.filter((expert) -> !this.state.holds(target, expert))
				.limit(freeSlots(rank))
				.forEach((expert) -> place(expert, target));
		}
	}

	private int leastLoadedRank(IntPredicate allowed) {
		int least = -1;
		for (int rank = 0; rank < this.shape.ranks(); rank++) {
			if (allowed.test(rank) && this.state.freeSlot(rank) >= 0
					&& (least < 0 || this.packedTimes[rank] < this.packedTimes[least])) {
				least = rank;
			}
		}
		return least;
	}

	private void place(int expert, int rank) {
		if (rank >= 0) {
			this.state.addCopy(this.state.freeSlot(rank), expert);
			this.packedTimes[rank] += copyLoad(expert) / this.state.speed(rank);
		}
	}

}

package org.comfreywall.group.placement;

import java.util.Arrays;

/**
 * Keeps experts that remain on their rank in their current slot: changing the slot would
 * need a read of the weights.
 */
final class SlotKeeper {

	private SlotKeeper() {
	}

	/**
	 * Reorders the experts of each rank so that those it held before keep their slots.
	 * @param shape the group's shape
	 * @param before the expert of each position before
	 * @param after the expert of each position after
	 * @return the experts of {@code after} in the slots of {@code before} where possible
	 */
	static int[] keepSlots(GroupShape shape, int[] before, int[] after) {
		int[] kept = new int[after.length];
		Arrays.fill(kept, Placement.EMPTY);
		boolean[] placed = new boolean[shape.experts()];
		for (int rank = 0; rank < shape.ranks(); rank++) {
			int from = rank * shape.stride();
			int to = from + shape.slots(rank);
			Arrays.fill(placed, false);
			markPresent(after, from, to, placed);
			for (int position = from; position < to; position++) {
				if (before[position] != Placement.EMPTY && placed[before[position]]) {
					kept[position] = before[position];
					placed[before[position]] = false;
				}
			}
			fillFreeSlots(after, kept, from, to, placed);
		}
		return kept;
	}

	/**
	 * Counts the positions whose expert must be read from the weight store.
	 * @param before the expert of each position before
	 * @param after the expert of each position after
	 * @return the count
	 */
	static int countReads(int[] before, int[] after) {
		int reads = 0;
		for (int position = 0; position < after.length; position++) {
			if (after[position] != Placement.EMPTY && after[position] != before[position]) {
				reads++;
			}
		}
		return reads;
	}

	private static void markPresent(int[] experts, int from, int to, boolean[] held) {
		for (int position = from; position < to; position++) {
			if (experts[position] != Placement.EMPTY) {
				held[experts[position]] = true;
			}
		}
	}

	private static void fillFreeSlots(int[] after, int[] kept, int from, int to, boolean[] missing) {
		int free = from;
		for (int position = from; position < to; position++) {
			int expert = after[position];
			if (expert != Placement.EMPTY && missing[expert]) {
				while (kept[free] != Placement.EMPTY) {
					free++;
				}
				kept[free] = expert;
				missing[expert] = false;
			}
		}
	}

}

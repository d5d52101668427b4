package org.comfreywall.group.placement;

/**
 * Restores the required copies of experts that lost some, for example because a rank
 * failed.
 */
final class LayerRepair {

	private final LayerState state;

	private final CopySpread spread;

	LayerRepair(LayerState state, CopySpread spread) {
		this.state = state;
		this.spread = spread;
	}

	/**
	 * Returns whether any expert lacks a copy or its spread.
	 * @return {@code true} if the layer needs repair
	 */
	boolean isNeeded() {
		for (int expert = 0; expert < this.state.shape().experts(); expert++) {
			if (!hasSpread(expert)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Adds the missing copies, in free slots or in place of copies that their experts do
	 * not need for their spread.
	 * @return {@code true} if every expert has its spread afterwards
	 */
	boolean repair() {
		for (int expert = 0; expert < this.state.shape().experts(); expert++) {
			for (int copy = 0; copy < this.spread.minimumCopies() && !hasSpread(expert); copy++) {
				addCopy(expert);
			}
		}
		return !isNeeded();
	}

	private boolean hasSpread(int expert) {
		return this.state.hasSpreadAfter(expert, -1, -1, this.spread);
	}

	private void addCopy(int expert) {
		int target = -1;
		for (int rank = 0; rank < this.state.shape().ranks(); rank++) {
			if (!this.state.holds(rank, expert) && improvesSpread(expert, rank)) {
				target = pickOnFasterRank(target, findReplaceableSlot(rank));
			}
		}
		if (target >= 0) {
			replace(target, expert);
		}
	}

	private void replace(int target, int expert) {
		int evicted = this.state.expertAt(target);
		if (evicted != Placement.EMPTY) {
			this.state.removeCopy(target);
			this.state.split(evicted);
		}
		this.state.addCopy(target, expert);
		this.state.split(expert);
	}

	private boolean improvesSpread(int expert, int rank) {
		return this.state.copyCount(expert) + 1 < this.spread.minimumCopies()
				|| this.state.hasSpreadAfter(expert, -1, rank, this.spread);
	}

	private int pickOnFasterRank(int target, int candidate) {
		if (candidate < 0 || target < 0) {
			return Math.max(candidate, target);
		}
		boolean faster = this.state.time(this.state.rankOf(candidate)) < this.state.time(this.state.rankOf(target));
		return faster ? candidate : target;
	}

	private int findReplaceableSlot(int rank) {
		int replaceable = this.state.freeSlot(rank);
		int from = rank * this.state.shape().stride();
		for (int position = from; replaceable < 0 && position < from + this.state.shape().slots(rank); position++) {
			if (this.state.hasSpreadAfter(this.state.expertAt(position), position, -1, this.spread)) {
				replaceable = position;
			}
		}
		return replaceable;
	}

}

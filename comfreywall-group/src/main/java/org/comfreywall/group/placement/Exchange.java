package org.comfreywall.group.placement;

/**
 * One step of the local search: puts a copy of an expert into a slot. The expert evicted
 * from that slot, if any, is dropped or swapped into the slot that the copy came from.
 *
 * @param expert the expert to add
 * @param target the position that receives the expert
 * @param evicted the expert removed from the target, or {@link Placement#EMPTY}
 * @param source the position that receives the evicted expert, or {@link #DROPPED}
 */
record Exchange(int expert, int target, int evicted, int source) {

	static final int DROPPED = -1;

	int readCount() {
		return (this.source == DROPPED) ? 1 : 2;
	}

	void apply(LayerState state) {
		if (this.evicted != Placement.EMPTY) {
			state.removeCopy(this.target);
		}
		if (this.source != DROPPED) {
			state.removeCopy(this.source);
			state.addCopy(this.source, this.evicted);
		}
		state.addCopy(this.target, this.expert);
	}

	void undo(LayerState state) {
		state.removeCopy(this.target);
		if (this.source != DROPPED) {
			state.removeCopy(this.source);
			state.addCopy(this.source, this.expert);
		}
		if (this.evicted != Placement.EMPTY) {
			state.addCopy(this.target, this.evicted);
		}
	}

}

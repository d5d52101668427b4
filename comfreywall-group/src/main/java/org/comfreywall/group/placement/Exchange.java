package org.comfreywall.group.placement;

/**
 * A step of the search: a copy of an expert comes to a slot and the slot's expert goes,
 * to the expert's former slot if the two are exchanged.
 *
 * @param expert the expert that comes
 * @param target the position to which it comes
 * @param evicted the expert that goes, or {@link Placement#EMPTY}
 * @param source the position that the evicted expert takes, or -1 if it is dropped
 */
record Exchange(int expert, int target, int evicted, int source) {

	static final int DROPPED = -1;

	int reads() {
		return (this.source == DROPPED) ? 1 : 2;
	}

	void apply(LayerState state) {
		if (this.evicted != Placement.EMPTY) {
			state.clear(this.target);
		}
		if (this.source != DROPPED) {
			state.clear(this.source);
			state.put(this.source, this.evicted);
		}
		state.put(this.target, this.expert);
	}

	void undo(LayerState state) {
		state.clear(this.target);
		if (this.source != DROPPED) {
			state.clear(this.source);
			state.put(this.source, this.expert);
		}
		if (this.evicted != Placement.EMPTY) {
			state.put(this.target, this.evicted);
		}
	}

}

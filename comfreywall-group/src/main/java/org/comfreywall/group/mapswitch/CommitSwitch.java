package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Commits an attempt that every rank is armed for.
 *
 * @param boundary the first step, the map and the attempt
 * @param generation the generation of the membership whose members are all armed
 */
public record CommitSwitch(MapBoundary boundary, long generation) implements LedgerWrite {

	public CommitSwitch {
		Preconditions.notNull(boundary, "boundary");
		Preconditions.check(generation >= 0, "generation must not be negative: %d", generation);
	}

	@Override
	public Term term() {
		return this.boundary.decidedBy().term();
	}

}

package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Commits an attempt for which every rank is armed.
 *
 * @param boundary the first step, the map and the attempt
 * @param generation the membership generation in which all members are armed; the commit
 * is rejected if the membership changed since
 */
public record CommitSwitch(MapBoundary boundary, long generation) implements LedgerWrite {

	public CommitSwitch {
		Preconditions.notNull(boundary, "boundary");
		Preconditions.check(generation >= 0, "generation must not be negative: %d", generation);
	}

	@Override
	public Term term() {
		return this.boundary.attemptId().term();
	}

}

package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The progress of a configuration revision in a subtree.
 *
 * @param nodes the number of nodes in the subtree, its root included
 * @param number the revision that is in force at all nodes except the lagging ones
 * @param behindCount the number of nodes with an older revision in force
 * @param behind the first {@value #MAX_LISTED} nodes with an older revision in force
 */
public record Coverage(int nodes, long number, int behindCount, List<Laggard> behind) {

	/** The maximum number of lagging nodes that are listed. */
	public static final int MAX_LISTED = 32;

	public Coverage {
		Preconditions.check(nodes >= 0, "nodes must not be negative: %d", nodes);
		Preconditions.check(behindCount >= 0, "behindCount must not be negative: %d", behindCount);
		behind = List.copyOf(behind);
		Preconditions.check(behind.size() <= MAX_LISTED, "behind must list at most %d nodes: %d", MAX_LISTED,
				behind.size());
	}

}

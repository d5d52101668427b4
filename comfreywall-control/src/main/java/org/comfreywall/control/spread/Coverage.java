package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Tells how far the configuration has come in a part of the tree.
 *
 * @param nodes the number of nodes in the part, its top included
 * @param number the revision that all nodes hold but those behind
 * @param behindCount the number of nodes that hold an older revision
 * @param behind the first {@value #MAX_NAMED} nodes that hold an older revision
 */
public record Coverage(int nodes, long number, int behindCount, List<Laggard> behind) {

	/** The greatest number of nodes that are named. */
	public static final int MAX_NAMED = 32;

	public Coverage {
		Preconditions.check(nodes >= 0, "nodes must not be negative: %d", nodes);
		Preconditions.check(behindCount >= 0, "behindCount must not be negative: %d", behindCount);
		behind = List.copyOf(behind);
		Preconditions.check(behind.size() <= MAX_NAMED, "behind must name at most %d nodes: %d", MAX_NAMED,
				behind.size());
	}

}

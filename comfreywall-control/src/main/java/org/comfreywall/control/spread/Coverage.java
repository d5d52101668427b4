package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The coverage of a configuration revision in a subtree: the number of nodes and those
 * that lag behind, because an older revision is in force at them.
 *
 * @param nodes the number of nodes in the subtree, including its root
 * @param number the revision, which is in force at all nodes that do not lag behind
 * @param behindCount the number of nodes that lag behind
 * @param behind up to {@value #MAX_LISTED} of these nodes
 */
public record Coverage(int nodes, long number, int behindCount, List<Laggard> behind) {

	/** The maximum number of listed nodes that lag behind. */
	public static final int MAX_LISTED = 32;

	public Coverage {
		Preconditions.check(nodes >= 0, "nodeCount must not be negative: %d", nodes);
		Preconditions.check(behindCount >= 0, "laggingCount must not be negative: %d", behindCount);
		behind = List.copyOf(behind);
		Preconditions.check(behind.size() <= MAX_LISTED, "laggingNodes must contain at most %d nodes: %d", MAX_LISTED,
				behind.size());
	}

}

package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The coverage of a configuration revision in a subtree: the number of nodes and those
 * that lag behind, because an older revision is in force at them.
 *
 * @param nodeCount the number of nodes in the subtree, including its root
 * @param revision the revision, which is in force at all nodes that do not lag behind
 * @param laggingCount the number of nodes that lag behind
 * @param laggingNodes up to {@value #MAX_LISTED} of these nodes
 */
public record RevisionCoverage(int nodeCount, long revision, int laggingCount, List<LaggingNode> laggingNodes) {

	/** The maximum number of listed nodes that lag behind. */
	public static final int MAX_LISTED = 32;

	public RevisionCoverage {
		Preconditions.check(nodeCount >= 0, "nodeCount must not be negative: %d", nodeCount);
		Preconditions.check(laggingCount >= 0, "laggingCount must not be negative: %d", laggingCount);
		laggingNodes = List.copyOf(laggingNodes);
		Preconditions.check(laggingNodes.size() <= MAX_LISTED, "laggingNodes must contain at most %d nodes: %d",
				MAX_LISTED, laggingNodes.size());
	}

}

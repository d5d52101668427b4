package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * What a part of the tree says about one life of a node.
 *
 * @param node the node
 * @param presence whether the node is heard
 */
public record MemberReport(NodeDescriptor node, Presence presence) {

	public MemberReport {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(presence, "presence");
	}

}

package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * A report about the presence of one incarnation of a node in a subtree.
 *
 * @param node the node
 * @param presence the presence of the node
 */
public record MemberReport(NodeDescriptor node, Presence presence) {

	public MemberReport {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(presence, "presence");
	}

}

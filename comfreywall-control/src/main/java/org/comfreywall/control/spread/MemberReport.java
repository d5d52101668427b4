package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * The presence of one incarnation of a node, as reported from a subtree.
 *
 * @param node the node
 * @param presence whether heartbeats of the node arrive
 */
public record MemberReport(NodeDescriptor node, Presence presence) {

	public MemberReport {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(presence, "presence");
	}

}

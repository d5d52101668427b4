package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * Notifies a control instance directly that a node accepts no new work.
 *
 * @param node the node that leaves
 */
public record LeaveNotice(NodeDescriptor node) implements SpreadMessage {

	public LeaveNotice {
		Preconditions.notNull(node, "node");
	}

}

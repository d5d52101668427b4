package org.comfreywall.control.spread;

import org.comfreywall.common.util.Preconditions;

/**
 * A message sent directly to a control instance when a node has stopped accepting new
 * work.
 *
 * @param node the leaving node
 */
public record LeaveNotice(NodeDescriptor node) implements RelayTreeMessage {

	public LeaveNotice {
		Preconditions.notNull(node, "node");
	}

}

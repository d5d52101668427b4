package org.comfreywall.control.member;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * The state of a member as published to all nodes.
 *
 * @param node the member
 * @param state the state
 * @param stamp a number that increases with each published change and orders the record
 * relative to failures of its failure domain
 */
public record MemberRecord(NodeDescriptor node, MemberState state, long stamp) {

	public MemberRecord {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(state, "state");
		Preconditions.check(stamp >= 0, "stamp must not be negative: %d", stamp);
	}

}

package org.comfreywall.control.member;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * What all nodes are told about a member.
 *
 * @param node the member
 * @param state its state
 * @param stamp orders the record against failures of its failure domain
 */
public record MemberRecord(NodeDescriptor node, MemberState state, long stamp) {

	public MemberRecord {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(state, "state");
		Preconditions.check(stamp >= 0, "stamp must not be negative: %d", stamp);
	}

}

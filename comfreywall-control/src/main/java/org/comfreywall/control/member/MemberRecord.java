package org.comfreywall.control.member;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * A member's state as published in the membership stream.
 *
 * @param node the member
 * @param state the state
 * @param sequence the sequence number of the publication, which shows whether a failure
 * of the member's failure domain was published earlier or later
 */
public record MemberRecord(NodeDescriptor node, MemberState state, long sequence) {

	public MemberRecord {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(state, "state");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

}

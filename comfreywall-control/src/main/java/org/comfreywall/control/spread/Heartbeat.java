package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A heartbeat from a child to its parent, with the child's stream positions and changes
 * among its descendants.
 *
 * @param node the sender
 * @param leaving whether the sender accepts no new work
 * @param stranded whether none of the parents assigned to the sender is reachable
 * @param resend whether the sender has detected a gap and requests updates from its
 * positions on
 * @param configuration the sender's position in the configuration stream
 * @param members the sender's position in the membership stream
 * @param floorNonce the nonce of a request for the floor, or zero if there is none
 * @param coverage the coverage of the sender's subtree
 * @param resetSequence the sequence number at which the current full report of the
 * sender's descendants started; the parent discards all earlier reports
 * @param reportBase the sequence number that the parent must have received for the
 * included reports to follow without a gap
 * @param reportSequence the sequence number of the last included report
 * @param reports the oldest reports that the parent has not acknowledged
 */
public record Heartbeat(NodeDescriptor node, boolean leaving, boolean stranded, boolean resend, Position configuration,
		Position members, long floorNonce, Coverage coverage, long resetSequence, long reportBase, long reportSequence,
		List<MemberReport> reports) implements SpreadMessage {

	public Heartbeat {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(members, "members");
		Preconditions.notNull(coverage, "coverage");
		reports = List.copyOf(reports);
	}

}

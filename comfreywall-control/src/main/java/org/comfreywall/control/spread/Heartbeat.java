package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Tells the parent that a node lives, what it holds and what has changed below it.
 *
 * @param node the sender
 * @param leaving whether the sender takes no new work
 * @param stranded whether none of the parents given to the sender answers
 * @param resend whether the sender has noticed a gap and wants updates from its position
 * @param configuration the sender's position in the configuration
 * @param members the sender's position in the members
 * @param floorNonce a number to be returned with the floor, or zero if none is asked for
 * @param coverage how far the configuration has come in the sender's part of the tree
 * @param resetSequence the number of the report at which the present listing of all nodes
 * below the sender began; the parent forgets what it held before
 * @param reportBase the number of the last report that the parent must hold for the
 * included ones to follow without a gap
 * @param reportSequence the number of the last report included
 * @param reports changes below the sender that the parent has not confirmed
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

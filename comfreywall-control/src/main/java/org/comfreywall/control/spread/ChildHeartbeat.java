package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A heartbeat from a child to its parent. It carries the child's positions in the streams
 * and reports about its descendants.
 *
 * @param node the sender
 * @param leaving whether the sender has stopped accepting new work
 * @param candidatesUnreachable whether the sender could not reach any of its parent
 * candidates
 * @param resendRequested whether the sender has missed updates or diverged and requests
 * all updates after its positions
 * @param configuration the sender's position in the configuration stream
 * @param members the sender's position in the membership stream
 * @param floorNonce the nonce of the sender's outstanding request for the floor, or zero
 * if it has none
 * @param coverage the coverage of the sender's subtree
 * @param fullReportSequence the sequence number at which the sender's latest full report
 * started; the parent discards all reports before it
 * @param baseReportSequence the sequence number up to which the parent must have received
 * reports, so that the included ones follow without a gap
 * @param lastReportSequence the sequence number of the last included report
 * @param reports the oldest reports that the parent has not acknowledged
 */
public record ChildHeartbeat(NodeDescriptor node, boolean leaving, boolean candidatesUnreachable,
		boolean resendRequested, StreamPosition configuration, StreamPosition members, long floorNonce,
		RevisionCoverage coverage, long fullReportSequence, long baseReportSequence, long lastReportSequence,
		List<MemberReport> reports) implements RelayTreeMessage {

	public ChildHeartbeat {
		Preconditions.notNull(node, "node");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(members, "members");
		Preconditions.notNull(coverage, "coverage");
		reports = List.copyOf(reports);
	}

}

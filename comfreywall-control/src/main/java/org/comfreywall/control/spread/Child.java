package org.comfreywall.control.spread;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.InstanceId;

/**
 * A parent's state of one child: the sent and acknowledged stream positions, the coverage
 * of the child's subtree and the reports about its descendants.
 */
final class Child {

	private final Map<StreamId, StreamPosition> acknowledgedPositions = new EnumMap<>(StreamId.class);

	private final Map<StreamId, Version> sentVersions = new EnumMap<>(StreamId.class);

	private final Map<StreamId, Long> sentTimes = new EnumMap<>(StreamId.class);

	private final Map<InstanceId, MemberReport> descendants = new HashMap<>();

	private NodeDescriptor node;

	private boolean leaving;

	private long lastHeartbeatAt;

	private RevisionCoverage coverage = new RevisionCoverage(1, 0, 0, List.of());

	private long fullReportSequence;

	private long receivedReportSequence;

	private ParentCandidates sentCandidates = ParentCandidates.NONE;

	Child(NodeDescriptor node) {
		this.node = node;
	}

	/**
	 * Records the descriptor, coverage and acknowledged positions of a heartbeat. If the
	 * child has restarted, the state of its earlier incarnation is reset first.
	 * @param heartbeat the heartbeat
	 * @param now the current monotonic time in nanoseconds
	 */
	void recordHeartbeat(ChildHeartbeat heartbeat, long now) {
		if (this.node.incarnation().isBefore(heartbeat.node().incarnation())) {
			resetAfterRestart();
		}
		this.node = heartbeat.node();
		this.leaving = this.leaving || heartbeat.leaving();
		this.lastHeartbeatAt = now;
		this.coverage = heartbeat.coverage();
		this.acknowledgedPositions.put(StreamId.CONFIGURATION, heartbeat.configuration());
		this.acknowledgedPositions.put(StreamId.MEMBERS, heartbeat.members());
	}

	/**
	 * Returns whether a heartbeat starts a new full report about the child's descendants.
	 * @param heartbeat the heartbeat
	 * @return {@code true} if all earlier reports of the child must be discarded
	 */
	boolean startsFullReport(ChildHeartbeat heartbeat) {
		return heartbeat.fullReportSequence() > this.fullReportSequence;
	}

	void startFullReport(long sequence) {
		this.fullReportSequence = sequence;
		this.receivedReportSequence = sequence;
	}

	/**
	 * Returns whether a heartbeat carries new reports that follow the applied ones
	 * without a gap.
	 * @param heartbeat the heartbeat
	 * @return {@code true} if the reports must be applied
	 */
	boolean hasNewReports(ChildHeartbeat heartbeat) {
		boolean contiguous = heartbeat.fullReportSequence() == this.fullReportSequence
				&& heartbeat.baseReportSequence() <= this.receivedReportSequence;
		return contiguous && heartbeat.lastReportSequence() > this.receivedReportSequence;
	}

	void markReportsReceived(long sequence) {
		this.receivedReportSequence = sequence;
	}

	Version sentVersion(StreamId stream) {
		return this.sentVersions.getOrDefault(stream, Version.ZERO);
	}

	long sentAt(StreamId stream) {
		return this.sentTimes.getOrDefault(stream, 0L);
	}

	void markSent(StreamId stream, Version version, long now) {
		this.sentVersions.put(stream, version);
		this.sentTimes.put(stream, now);
	}

	void rewindToAcknowledged(StreamId stream) {
		this.sentVersions.put(stream, acknowledgedPosition(stream).version());
	}

	StreamPosition acknowledgedPosition(StreamId stream) {
		return this.acknowledgedPositions.getOrDefault(stream, StreamPosition.ZERO);
	}

	MemberReport presenceReport() {
		return new MemberReport(this.node, this.leaving ? Presence.LEAVING : Presence.PRESENT);
	}

	Map<InstanceId, MemberReport> descendants() {
		return this.descendants;
	}

	NodeDescriptor node() {
		return this.node;
	}

	Peer peer() {
		return Peer.of(this.node);
	}

	long lastHeartbeatAt() {
		return this.lastHeartbeatAt;
	}

	RevisionCoverage coverage() {
		return this.coverage;
	}

	long receivedReportSequence() {
		return this.receivedReportSequence;
	}

	ParentCandidates sentCandidates() {
		return this.sentCandidates;
	}

	void setSentCandidates(ParentCandidates parents) {
		this.sentCandidates = parents;
	}

	private void resetAfterRestart() {
		this.leaving = false;
		this.fullReportSequence = 0;
		this.receivedReportSequence = 0;
		this.sentVersions.clear();
	}

}

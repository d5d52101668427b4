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

	private final Map<StreamId, Position> acknowledgedPositions = new EnumMap<>(StreamId.class);

	private final Map<StreamId, Version> sentVersions = new EnumMap<>(StreamId.class);

	private final Map<StreamId, Long> sentTimes = new EnumMap<>(StreamId.class);

	private final Map<InstanceId, MemberReport> descendants = new HashMap<>();

	private NodeDescriptor node;

	private boolean leaving;

	private long lastHeartbeatAt;

	private Coverage coverage = new Coverage(1, 0, 0, List.of());

	private long resetSequence;

	private long reportsReceived;

	private ParentList sentParents = ParentList.NONE;

	Child(NodeDescriptor node) {
		this.node = node;
	}

	/**
	 * Records the descriptor, coverage and acknowledged positions of a heartbeat. If the
	 * child has restarted, the state of its earlier incarnation is reset first.
	 * @param heartbeat the heartbeat
	 * @param now the current monotonic time in nanoseconds
	 */
	void recordHeartbeat(Heartbeat heartbeat, long now) {
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
	boolean startsFullReport(Heartbeat heartbeat) {
		return heartbeat.resetSequence() > this.resetSequence;
	}

	void startFullReport(long sequence) {
		this.resetSequence = sequence;
		this.reportsReceived = sequence;
	}

	/**
	 * Returns whether a heartbeat carries new reports that follow the applied ones
	 * without a gap.
	 * @param heartbeat the heartbeat
	 * @return {@code true} if the reports must be applied
	 */
	boolean hasNewReports(Heartbeat heartbeat) {
		boolean contiguous = heartbeat.resetSequence() == this.resetSequence
				&& heartbeat.reportBase() <= this.reportsReceived;
		return contiguous && heartbeat.reportSequence() > this.reportsReceived;
	}

	void markReportsReceived(long sequence) {
		this.reportsReceived = sequence;
	}

	Version sent(StreamId stream) {
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
		this.sentVersions.put(stream, acknowledged(stream).version());
	}

	Position acknowledged(StreamId stream) {
		return this.acknowledgedPositions.getOrDefault(stream, Position.ZERO);
	}

	MemberReport report() {
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

	Coverage coverage() {
		return this.coverage;
	}

	long reportsReceived() {
		return this.reportsReceived;
	}

	ParentList sentParents() {
		return this.sentParents;
	}

	void setSentParents(ParentList parents) {
		this.sentParents = parents;
	}

	private void resetAfterRestart() {
		this.leaving = false;
		this.resetSequence = 0;
		this.reportsReceived = 0;
		this.sentVersions.clear();
	}

}

package org.comfreywall.control.spread;

/**
 * Sends heartbeats to the parent at a regular interval, and earlier if there are changes
 * to report.
 */
final class HeartbeatSender {

	private final NodeDescriptor self;

	private final RelayTreeSettings settings;

	private final ParentSelector parentSelector;

	private final StreamReplicas streams;

	private final Children children;

	private final ReportQueue reports;

	private final Outbox outbox;

	private long lastSentRevision;

	private long floorNonce;

	private boolean leaving;

	private boolean sendImmediately;

	private long lastSentAt;

	private long fullReportStartedAt;

	HeartbeatSender(NodeDescriptor self, RelayTreeSettings settings, ParentSelector link, StreamReplicas streams,
			Children children, ReportQueue reports, Outbox outbox) {
		this.self = self;
		this.settings = settings;
		this.parentSelector = link;
		this.streams = streams;
		this.children = children;
		this.reports = reports;
		this.outbox = outbox;
	}

	/**
	 * Makes the next call of {@link #sendIfDue(boolean, long)} send a heartbeat
	 * regardless of the interval.
	 */
	void requestImmediateHeartbeat() {
		this.sendImmediately = true;
	}

	void markLeaving() {
		this.leaving = true;
	}

	void setFloorNonce(long nonce) {
		this.floorNonce = nonce;
	}

	/**
	 * Starts a full report about all children and descendants. It is needed if the parent
	 * has changed or has lost reports that it had acknowledged.
	 * @param now the current monotonic time in nanoseconds
	 */
	void startFullReport(long now) {
		this.fullReportStartedAt = now;
		this.sendImmediately = true;
		this.reports.startFullReport(this.children.presenceReports());
	}

	/**
	 * Handles the parent's acknowledgement of reports. A new full report is not started
	 * within two heartbeat intervals of the last one, because heartbeats that the parent
	 * sent before it received the last one may still arrive.
	 * @param received the sequence number of the last report that the parent has received
	 * @param now the current monotonic time in nanoseconds
	 */
	void onReportsAcknowledged(long received, long now) {
		boolean accepted = this.reports.removeAcknowledged(received);
		if (!accepted && now - this.fullReportStartedAt >= 2 * this.settings.childHeartbeatInterval().toNanos()) {
			startFullReport(now);
		}
	}

	RevisionCoverage coverage(long revision) {
		return CoverageCalculator.calculate(revision, this.self.id(), this.streams.revisionInForce(),
				this.children.all());
	}

	/**
	 * Sends a heartbeat to the parent if one is due. The leader has no parent and passes
	 * pending reports to its own membership core instead.
	 * @param leader whether this node is the leader
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendIfDue(boolean leader, long now) {
		if (leader) {
			if (!this.reports.isEmpty()) {
				this.outbox.add(new RelayTreeCommand.HandleReports(this.reports.drain()));
			}
			return;
		}
		boolean regular = now - this.lastSentAt >= this.settings.childHeartbeatInterval().toNanos();
		boolean early = hasChanges() && now - this.lastSentAt >= 2 * this.settings.tickInterval().toNanos();
		if (this.parentSelector.parent().isPresent() && (this.sendImmediately || regular || early)) {
			send(this.parentSelector.parent().get(), now);
		}
	}

	private boolean hasChanges() {
		return this.streams.needsResend() || !this.reports.isEmpty() || this.children.coverageChanged()
				|| this.streams.revisionInForce() != this.lastSentRevision;
	}

	private void send(NodeDescriptor parent, long now) {
		this.lastSentAt = now;
		this.sendImmediately = false;
		this.lastSentRevision = this.streams.revisionInForce();
		this.children.clearCoverageChanged();
		ReportQueue.Batch batch = this.reports.nextBatch();
		StreamPosition configuration = this.streams.configuration().position();
		ChildHeartbeat heartbeat = new ChildHeartbeat(this.self, this.leaving,
				this.parentSelector.areCandidatesUnreachable(), this.streams.takeResendRequest(), configuration,
				this.streams.members().position(), this.floorNonce, coverage(configuration.version().number()),
				this.reports.fullReportSequence(), this.reports.acknowledged(), batch.lastSequence(), batch.reports());
		this.outbox.send(Peer.of(parent), heartbeat);
	}

}

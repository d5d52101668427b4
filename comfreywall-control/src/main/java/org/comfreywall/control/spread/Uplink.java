package org.comfreywall.control.spread;

/**
 * Sends heartbeats to the parent: at a regular interval, and earlier when there are
 * changes to report.
 */
final class Uplink {

	private final NodeDescriptor self;

	private final SpreadSettings settings;

	private final ParentLink link;

	private final Streams streams;

	private final Children children;

	private final ReportQueue reports;

	private final Outbox outbox;

	private long lastSentRevision;

	private long floorNonce;

	private boolean leaving;

	private boolean urgent;

	private long lastHeartbeatAt;

	private long fullReportStartedAt;

	Uplink(NodeDescriptor self, SpreadSettings settings, ParentLink link, Streams streams, Children children,
			ReportQueue reports, Outbox outbox) {
		this.self = self;
		this.settings = settings;
		this.link = link;
		this.streams = streams;
		this.children = children;
		this.reports = reports;
		this.outbox = outbox;
	}

	/**
	 * Makes the next flush send a heartbeat regardless of the interval.
	 */
	void requestImmediateHeartbeat() {
		this.urgent = true;
	}

	void markLeaving() {
		this.leaving = true;
	}

	void setFloorNonce(long nonce) {
		this.floorNonce = nonce;
	}

	/**
	 * Starts a new full report of all descendants, for a new parent or one that has lost
	 * reports.
	 * @param now the current monotonic time in nanoseconds
	 */
	void startFullReport(long now) {
		this.fullReportStartedAt = now;
		this.urgent = true;
		this.reports.startFullReport(this.children.presenceReports());
	}

	/**
	 * Handles the parent's acknowledgement of reports. A full report is repeated only
	 * after two heartbeat intervals, because beats that the parent sent before receiving
	 * the last one may still arrive.
	 * @param received the sequence number of the last report that the parent has received
	 * @param now the current monotonic time in nanoseconds
	 */
	void onReportsAcknowledged(long received, long now) {
		boolean accepted = this.reports.removeAcknowledged(received);
		if (!accepted && now - this.fullReportStartedAt >= 2 * this.settings.heartbeatInterval().toNanos()) {
			startFullReport(now);
		}
	}

	Coverage coverage(long number) {
		return CoverageCalculator.calculate(number, this.self.id(), this.streams.revisionInForce(),
				this.children.all());
	}

	/**
	 * Sends a heartbeat to the parent if one is due. The leader has no parent and passes
	 * the reports to its own membership core.
	 * @param leader whether this node is the leader
	 * @param now the current monotonic time in nanoseconds
	 */
	void flush(boolean leader, long now) {
		if (leader) {
			if (!this.reports.isEmpty()) {
				this.outbox.add(new SpreadCommand.ReportsReceived(this.reports.drain()));
			}
			return;
		}
		boolean regular = now - this.lastHeartbeatAt >= this.settings.heartbeatInterval().toNanos();
		boolean early = hasChanges() && now - this.lastHeartbeatAt >= 2 * this.settings.tickInterval().toNanos();
		if (this.link.parent().isPresent() && (this.urgent || regular || early)) {
			send(this.link.parent().get(), now);
		}
	}

	private boolean hasChanges() {
		return this.streams.needsResend() || !this.reports.isEmpty() || this.children.coverageChanged()
				|| this.streams.revisionInForce() != this.lastSentRevision;
	}

	private void send(NodeDescriptor parent, long now) {
		this.lastHeartbeatAt = now;
		this.urgent = false;
		this.lastSentRevision = this.streams.revisionInForce();
		this.children.clearCoverageChanged();
		ReportQueue.Batch batch = this.reports.nextBatch();
		Position configuration = this.streams.configuration().position();
		Heartbeat heartbeat = new Heartbeat(this.self, this.leaving, this.link.isStranded(), this.streams.pollResend(),
				configuration, this.streams.members().position(), this.floorNonce,
				coverage(configuration.version().number()), this.reports.resetSequence(), this.reports.acknowledged(),
				batch.lastSequence(), batch.reports());
		this.outbox.send(Peer.of(parent), heartbeat);
	}

}

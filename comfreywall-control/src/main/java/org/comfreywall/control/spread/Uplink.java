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

	private long numberSent;

	private long floorNonce;

	private boolean leaving;

	private boolean urgent;

	private long sentAt;

	private long resetAt;

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
	void hurry() {
		this.urgent = true;
	}

	void leave() {
		this.leaving = true;
	}

	void askFloor(long nonce) {
		this.floorNonce = nonce;
	}

	/**
	 * Starts a new full report of all descendants, for a new parent or one that has lost
	 * reports.
	 * @param now the current monotonic time in nanoseconds
	 */
	void reset(long now) {
		this.resetAt = now;
		this.urgent = true;
		this.reports.reset(this.children.present());
	}

	/**
	 * Handles the parent's acknowledgement of reports. A full report is repeated only
	 * after two heartbeat intervals, because beats that the parent sent before receiving
	 * the last one may still arrive.
	 * @param received the sequence number of the last report that the parent has received
	 * @param now the current monotonic time in nanoseconds
	 */
	void acknowledge(long received, long now) {
		boolean accepted = this.reports.acknowledge(received);
		if (!accepted && now - this.resetAt >= 2 * this.settings.heartbeatInterval().toNanos()) {
			reset(now);
		}
	}

	Coverage coverage(long number) {
		return CoverageCalculator.calculate(number, this.self.id(), this.streams.numberInForce(), this.children.all());
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
				this.outbox.add(new SpreadCommand.Reported(this.reports.takeAll()));
			}
			return;
		}
		boolean regular = now - this.sentAt >= this.settings.heartbeatInterval().toNanos();
		boolean early = hasNews() && now - this.sentAt >= 2 * this.settings.tickInterval().toNanos();
		if (this.link.parent().isPresent() && (this.urgent || regular || early)) {
			send(this.link.parent().get(), now);
		}
	}

	private boolean hasNews() {
		return this.streams.wantsResend() || !this.reports.isEmpty() || this.children.coverageChanged()
				|| this.streams.numberInForce() != this.numberSent;
	}

	private void send(NodeDescriptor parent, long now) {
		this.sentAt = now;
		this.urgent = false;
		this.numberSent = this.streams.numberInForce();
		this.children.clearCoverageChanged();
		ReportQueue.Batch batch = this.reports.batch();
		Position configuration = this.streams.configuration().position();
		Heartbeat heartbeat = new Heartbeat(this.self, this.leaving, this.link.isStranded(), this.streams.takeResend(),
				configuration, this.streams.members().position(), this.floorNonce,
				coverage(configuration.version().number()), this.reports.resetSequence(), this.reports.acknowledged(),
				batch.lastSequence(), batch.reports());
		this.outbox.send(Peer.of(parent), heartbeat);
	}

}

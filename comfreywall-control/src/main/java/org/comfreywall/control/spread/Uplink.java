package org.comfreywall.control.spread;

/**
 * Sends heartbeats to the parent: at a regular interval, and sooner when there is news.
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
	 * Lets the next heartbeat leave at once.
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
	 * Starts to report all nodes below anew, to a new parent or to one that has forgotten
	 * them.
	 * @param now the clock's reading
	 */
	void reset(long now) {
		this.resetAt = now;
		this.urgent = true;
		this.reports.reset(this.children.present());
	}

	/**
	 * Takes the parent's confirmation of reports.
	 * @param received the number of the last report that the parent holds
	 * @param now the clock's reading
	 */
	void acknowledge(long received, long now) {
		boolean known = this.reports.acknowledge(received);
		if (!known && now - this.resetAt >= 2 * this.settings.heartbeatInterval().toNanos()) {
			reset(now);
		}
	}

	Coverage coverage(long number) {
		return CoverageCalculator.calculate(number, this.self.id(), this.streams.numberInForce(), this.children.all());
	}

	/**
	 * Sends what is due.
	 * @param leader whether this node leads and consumes the reports itself
	 * @param now the clock's reading
	 */
	void flush(boolean leader, long now) {
		if (leader) {
			if (!this.reports.isEmpty()) {
				this.outbox.add(new SpreadCommand.Reported(this.reports.takeAll()));
			}
			return;
		}
		boolean regular = now - this.sentAt >= this.settings.heartbeatInterval().toNanos();
		boolean soon = hasNews() && now - this.sentAt >= 2 * this.settings.tickInterval().toNanos();
		if (this.link.parent().isPresent() && (this.urgent || regular || soon)) {
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

package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.List;

/**
 * Sends leave notices directly to the control instances, one after another. A notice is
 * repeated because messages can be lost and a control instance without a leader drops it.
 */
final class LeaveAnnouncer {

	private static final int MAX_NOTICES = 8;

	private static final long INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

	private final NodeDescriptor self;

	private final List<NodeDescriptor> controls;

	private final Outbox outbox;

	private boolean leaving;

	private int noticesSent;

	private long sentAt;

	LeaveAnnouncer(NodeDescriptor self, List<NodeDescriptor> controls, Outbox outbox) {
		this.self = self;
		this.controls = controls;
		this.outbox = outbox;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void start(long now) {
		if (!this.leaving) {
			this.leaving = true;
			send(now);
		}
	}

	void tick(long now) {
		if (this.leaving && this.noticesSent < MAX_NOTICES && now - this.sentAt >= INTERVAL_NANOS) {
			send(now);
		}
	}

	private void send(long now) {
		this.sentAt = now;
		if (!this.controls.isEmpty()) {
			NodeDescriptor control = this.controls.get(this.noticesSent % this.controls.size());
			this.outbox.send(Peer.of(control), new LeaveNotice(this.self));
		}
		this.noticesSent++;
	}

}

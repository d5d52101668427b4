package org.comfreywall.control.spread;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.Term;

/**
 * Pushes a stream's changes to the children.
 */
final class Distributor {

	private static final int SNAPSHOT_RESEND_FACTOR = 5;

	private final StreamId stream;

	private final StreamReplica replica;

	private final long resendNanos;

	private final Outbox outbox;

	Distributor(StreamId stream, StreamReplica replica, SpreadSettings settings, Outbox outbox) {
		this.stream = stream;
		this.replica = replica;
		this.resendNanos = settings.resendTimeout().toNanos();
		this.outbox = outbox;
	}

	/**
	 * Brings a child's sent position back to the confirmed one if an update seems lost.
	 * @param child the child
	 * @param asked whether the child has noticed a gap
	 * @param now the clock's reading
	 */
	void rewindIfLost(Child child, boolean asked, long now) {
		Version confirmed = child.acknowledged(this.stream).version();
		Version sent = child.sent(this.stream);
		if (sent.isBefore(confirmed)) {
			child.rewind(this.stream);
		}
		boolean history = this.replica.since(confirmed).isPresent();
		long patience = history ? this.resendNanos : SNAPSHOT_RESEND_FACTOR * this.resendNanos;
		boolean overdue = now - child.sentAt(this.stream) > patience;
		if (confirmed.isBefore(sent) && (overdue || (asked && history))) {
			child.rewind(this.stream);
		}
	}

	/**
	 * Sends a child what it lacks.
	 * @param child the child
	 * @param term the newest term known to this node
	 * @param now the clock's reading
	 */
	void push(Child child, Term term, long now) {
		if (this.stream == StreamId.MEMBERS && child.node().role() == NodeRole.SIDECAR) {
			return;
		}
		Version sent = child.sent(this.stream);
		if (!sent.isBefore(this.replica.version())) {
			return;
		}
		Optional<List<Delta>> deltas = this.replica.since(sent);
		if (deltas.isPresent()) {
			this.outbox.send(child.peer(), new DeltaUpdate(this.stream, term, deltas.get()));
		}
		else {
			sendSnapshot(child, term);
		}
		child.markSent(this.stream, this.replica.version(), now);
	}

	/**
	 * Sends a child the whole state if its state differs at the same version.
	 * @param child the child
	 * @param term the newest term known to this node
	 * @param now the clock's reading
	 */
	void repair(Child child, Term term, long now) {
		Position held = child.acknowledged(this.stream);
		Position own = this.replica.position();
		if (held.version().equals(own.version()) && held.digest() != own.digest()) {
			sendSnapshot(child, term);
			child.markSent(this.stream, own.version(), now);
		}
	}

	private void sendSnapshot(Child child, Term term) {
		this.outbox.send(child.peer(), new SnapshotUpdate(this.stream, term, this.replica.snapshot()));
	}

}

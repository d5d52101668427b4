package org.comfreywall.control.spread;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.Term;

/**
 * Sends the updates of one stream to the children, as deltas if all of them are retained
 * and as a snapshot otherwise.
 */
final class UpdateSender {

	private static final int SNAPSHOT_RESEND_FACTOR = 5;

	private final StreamId stream;

	private final StreamReplica replica;

	private final long resendTimeoutNanos;

	private final Outbox outbox;

	UpdateSender(StreamId stream, StreamReplica replica, RelayTreeSettings settings, Outbox outbox) {
		this.stream = stream;
		this.replica = replica;
		this.resendTimeoutNanos = settings.resendTimeout().toNanos();
		this.outbox = outbox;
	}

	/**
	 * Resets a child's sent version to the acknowledged one if an update was probably
	 * lost, so that the update is sent again. The timeout of a snapshot is
	 * {@value #SNAPSHOT_RESEND_FACTOR} times that of deltas.
	 * @param child the child
	 * @param requested whether the child has requested a resend
	 * @param now the current monotonic time in nanoseconds
	 */
	void rewindIfUpdateLost(Child child, boolean requested, long now) {
		Version acknowledged = child.acknowledgedPosition(this.stream).version();
		Version sent = child.sentVersion(this.stream);
		if (sent.isBefore(acknowledged)) {
			child.rewindToAcknowledged(this.stream);
		}
		boolean hasDeltas = this.replica.deltasSince(acknowledged).isPresent();
		long timeout = hasDeltas ? this.resendTimeoutNanos : SNAPSHOT_RESEND_FACTOR * this.resendTimeoutNanos;
		boolean overdue = now - child.sentAt(this.stream) > timeout;
		if (acknowledged.isBefore(sent) && (overdue || (requested && hasDeltas))) {
			child.rewindToAcknowledged(this.stream);
		}
	}

	/**
	 * Sends a child all updates after its sent version. Sidecars receive no membership
	 * updates.
	 * @param child the child
	 * @param term the latest leader term that this node has received
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendUpdates(Child child, Term term, long now) {
		if (this.stream == StreamId.MEMBERS && child.node().role() == NodeRole.SIDECAR) {
			return;
		}
		Version sent = child.sentVersion(this.stream);
		if (!sent.isBefore(this.replica.version())) {
			return;
		}
		Optional<List<Delta>> deltas = this.replica.deltasSince(sent);
		if (deltas.isPresent()) {
			this.outbox.send(child.peer(), new DeltaUpdate(this.stream, term, deltas.get()));
		}
		else {
			sendSnapshot(child, term);
		}
		child.markSent(this.stream, this.replica.version(), now);
	}

	/**
	 * Sends a child a snapshot if its replica has diverged: its digest differs from that
	 * of this node's replica at the same version.
	 * @param child the child
	 * @param term the latest leader term that this node has received
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendSnapshotIfDiverged(Child child, Term term, long now) {
		StreamPosition acknowledged = child.acknowledgedPosition(this.stream);
		StreamPosition own = this.replica.position();
		if (acknowledged.version().equals(own.version()) && acknowledged.digest() != own.digest()) {
			sendSnapshot(child, term);
			child.markSent(this.stream, own.version(), now);
		}
	}

	private void sendSnapshot(Child child, Term term) {
		this.outbox.send(child.peer(), new SnapshotUpdate(this.stream, term, this.replica.snapshot()));
	}

}

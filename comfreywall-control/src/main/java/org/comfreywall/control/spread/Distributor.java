package org.comfreywall.control.spread;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.Term;

/**
 * Sends the updates of one stream to the children: deltas while the history reaches back
 * far enough, otherwise a snapshot.
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
	 * Resets a child's sent version to the acknowledged one if an update was probably
	 * lost. Snapshots are resent after {@value #SNAPSHOT_RESEND_FACTOR} times the timeout
	 * of deltas.
	 * @param child the child
	 * @param requested whether the child has requested a resend
	 * @param now the current monotonic time in nanoseconds
	 */
	void rewindIfLost(Child child, boolean requested, long now) {
		Version acknowledged = child.acknowledged(this.stream).version();
		Version sent = child.sent(this.stream);
		if (sent.isBefore(acknowledged)) {
			child.rewindToAcknowledged(this.stream);
		}
		boolean hasDeltas = this.replica.deltasSince(acknowledged).isPresent();
		long timeout = hasDeltas ? this.resendNanos : SNAPSHOT_RESEND_FACTOR * this.resendNanos;
		boolean overdue = now - child.sentAt(this.stream) > timeout;
		if (acknowledged.isBefore(sent) && (overdue || (requested && hasDeltas))) {
			child.rewindToAcknowledged(this.stream);
		}
	}

	/**
	 * Sends a child the updates after its sent version.
	 * @param child the child
	 * @param term the latest leader term known to this node
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendUpdates(Child child, Term term, long now) {
		if (this.stream == StreamId.MEMBERS && child.node().role() == NodeRole.SIDECAR) {
			return;
		}
		Version sent = child.sent(this.stream);
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
	 * Sends a child a snapshot if its digest differs from this node's at the same
	 * version.
	 * @param child the child
	 * @param term the latest leader term known to this node
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendSnapshotIfDiverged(Child child, Term term, long now) {
		Position acknowledged = child.acknowledged(this.stream);
		Position own = this.replica.position();
		if (acknowledged.version().equals(own.version()) && acknowledged.digest() != own.digest()) {
			sendSnapshot(child, term);
			child.markSent(this.stream, own.version(), now);
		}
	}

	private void sendSnapshot(Child child, Term term) {
		this.outbox.send(child.peer(), new SnapshotUpdate(this.stream, term, this.replica.snapshot()));
	}

}

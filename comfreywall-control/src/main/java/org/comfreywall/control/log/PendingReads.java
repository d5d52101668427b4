package org.comfreywall.control.log;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;

/**
 * Linearizable reads that were requested while the leader held no lease and wait until a
 * quorum confirms its leadership (ReadIndex).
 */
final class PendingReads {

	private final ReplicaState state;

	/** Oldest first; at most {@link LogSettings#maxPendingReads()}. */
	private final Deque<PendingRead> pending = new ArrayDeque<>();

	PendingReads(ReplicaState state) {
		this.state = state;
	}

	void add(long read, long index, long now) {
		if (this.pending.size() >= this.state.settings().maxPendingReads()) {
			refuse(read, OperationError.local(ErrorCode.OVERLOADED, Step.REPLICATE,
					"the maximum number of pending reads is reached; try again"));
			return;
		}
		this.pending.addLast(new PendingRead(read, index, now));
	}

	// Returns whether a read was requested after the last heartbeat, so that only the
	// replies to another one can confirm it.
	boolean needsConfirmation(long lastHeartbeat) {
		return !this.pending.isEmpty() && this.pending.peekLast().requestedAt - lastHeartbeat > 0;
	}

	// Releases the reads requested before the newest message that a quorum replied to was
	// sent.
	void confirm(long answeredMessageAge, long now) {
		while (!this.pending.isEmpty() && now - this.pending.peekFirst().requestedAt >= answeredMessageAge) {
			PendingRead read = this.pending.removeFirst();
			this.state.emit(new ReadReady(read.read, read.index));
		}
	}

	void refuseAll() {
		this.pending.forEach((read) -> refuse(read.read, this.state.notLeader()));
		this.pending.clear();
	}

	private void refuse(long read, OperationError error) {
		this.state.emit(new ReadRefused(read, error));
	}

	/** A read with the index that must be applied before it is answered. */
	private record PendingRead(long read, long index, long requestedAt) {

	}

}

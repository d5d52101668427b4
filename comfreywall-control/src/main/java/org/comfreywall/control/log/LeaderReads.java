package org.comfreywall.control.log;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;

/**
 * Reads that wait until a quorum confirms the leader.
 */
final class LeaderReads {

	private final ReplicaState state;

	/** Oldest first; bounded by the settings. */
	private final Deque<PendingRead> pending = new ArrayDeque<>();

	LeaderReads(ReplicaState state) {
		this.state = state;
	}

	void add(long read, long index, long now) {
		if (this.pending.size() >= this.state.settings().maxPendingReads()) {
			refuse(read, OperationError.local(ErrorCode.OVERLOADED, Step.REPLICATE, "too many reads wait; try again"));
			return;
		}
		this.pending.addLast(new PendingRead(read, index, now));
	}

	// Tells whether a read was asked for after the last heartbeat.
	boolean needConfirmation(long lastHeartbeat) {
		return !this.pending.isEmpty() && this.pending.peekLast().requestedAt - lastHeartbeat > 0;
	}

	// Answers the reads asked for before the newest message that a quorum answered.
	void confirm(long quorumAge, long now) {
		while (!this.pending.isEmpty() && now - this.pending.peekFirst().requestedAt >= quorumAge) {
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

	/** A read with the index it must see. */
	private record PendingRead(long read, long index, long requestedAt) {

	}

}

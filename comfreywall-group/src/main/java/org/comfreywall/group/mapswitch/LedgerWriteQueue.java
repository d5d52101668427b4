package org.comfreywall.group.mapswitch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Queues writes to the ledger, sends one at a time and repeats it until its result is
 * received.
 */
final class LedgerWriteQueue {

	private final int capacity;

	private final long retryNanos;

	private final Deque<LedgerWrite> pending = new ArrayDeque<>();

	private long sentAt;

	private boolean sent;

	LedgerWriteQueue(int capacity, long retryNanos) {
		this.capacity = capacity;
		this.retryNanos = retryNanos;
	}

	boolean add(LedgerWrite write) {
		if (this.pending.contains(write)) {
			return true;
		}
		return this.pending.size() < this.capacity && this.pending.add(write);
	}

	boolean complete(LedgerWrite write) {
		if (!this.sent || !write.equals(this.pending.peek())) {
			return false;
		}
		this.pending.remove();
		this.sent = false;
		return true;
	}

	Optional<LedgerWrite> pollDue(long now) {
		if (this.pending.isEmpty() || (this.sent && now - this.sentAt < this.retryNanos)) {
			return Optional.empty();
		}
		this.sent = true;
		this.sentAt = now;
		return Optional.of(this.pending.peek());
	}

	void clear() {
		this.pending.clear();
	}

}

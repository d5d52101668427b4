package org.comfreywall.control.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Knows which entries and votes are on synced disk and holds back the messages that
 * depend on those that are not.
 */
final class SyncTracker {

	private final Deque<PendingSync> pending = new ArrayDeque<>();

	private List<PeerMessage> held = new ArrayList<>();

	private long nextSequence = 1;

	private long syncedIndex;

	private long writtenIndex;

	private boolean hardStateChanged;

	SyncTracker(long syncedIndex) {
		this.syncedIndex = syncedIndex;
		this.writtenIndex = syncedIndex;
	}

	long syncedIndex() {
		return this.syncedIndex;
	}

	long writtenIndex() {
		return this.writtenIndex;
	}

	void hardStateChanged() {
		this.hardStateChanged = true;
	}

	boolean hardStateDirty() {
		return this.hardStateChanged;
	}

	boolean hardStateSynced() {
		return !this.hardStateChanged && this.pending.stream().noneMatch((sync) -> sync.hardState);
	}

	void truncatedFrom(long index) {
		this.syncedIndex = Math.min(this.syncedIndex, index - 1);
		this.writtenIndex = Math.min(this.writtenIndex, index - 1);
		this.pending.forEach((sync) -> sync.lastIndex = Math.min(sync.lastIndex, index - 1));
	}

	void hold(PeerMessage message) {
		this.held.add(message);
	}

	boolean hasWork(long lastIndex) {
		return this.hardStateChanged || !this.held.isEmpty() || lastIndex > this.writtenIndex;
	}

	// Hands everything up to the given index and the held messages over to a new write.
	long startWrite(long lastIndex) {
		PendingSync sync = new PendingSync(this.nextSequence++, lastIndex, this.hardStateChanged, this.held);
		this.pending.addLast(sync);
		this.held = new ArrayList<>();
		this.hardStateChanged = false;
		this.writtenIndex = lastIndex;
		return sync.sequence;
	}

	// Notes a finished write and returns the messages that depended on it.
	List<PeerMessage> finishWrites(long sequence) {
		List<PeerMessage> released = new ArrayList<>();
		while (!this.pending.isEmpty() && this.pending.peekFirst().sequence <= sequence) {
			PendingSync sync = this.pending.removeFirst();
			this.syncedIndex = Math.max(this.syncedIndex, sync.lastIndex);
			released.addAll(sync.messages);
		}
		return released;
	}

	/** A write that is not synced yet. */
	private static final class PendingSync {

		private final long sequence;

		private final boolean hardState;

		private final List<PeerMessage> messages;

		private long lastIndex;

		PendingSync(long sequence, long lastIndex, boolean hardState, List<PeerMessage> messages) {
			this.sequence = sequence;
			this.lastIndex = lastIndex;
			this.hardState = hardState;
			this.messages = messages;
		}

	}

}

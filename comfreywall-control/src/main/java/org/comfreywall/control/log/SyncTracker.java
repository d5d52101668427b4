package org.comfreywall.control.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks which entries and votes are synced to disk and holds back messages that depend
 * on unsynced ones.
 */
final class SyncTracker {

	private final Deque<PendingSync> pending = new ArrayDeque<>();

	private List<PeerMessage> heldMessages = new ArrayList<>();

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

	void truncateFrom(long index) {
		this.syncedIndex = Math.min(this.syncedIndex, index - 1);
		this.writtenIndex = Math.min(this.writtenIndex, index - 1);
		this.pending.forEach((sync) -> sync.lastIndex = Math.min(sync.lastIndex, index - 1));
	}

	void holdUntilSynced(PeerMessage message) {
		this.heldMessages.add(message);
	}

	boolean hasUnwritten(long lastIndex) {
		return this.hardStateChanged || !this.heldMessages.isEmpty() || lastIndex > this.writtenIndex;
	}

	// Starts a write of everything up to the given index. The messages heldMessages so
	// far are
	// released once it is synced.
	long startWrite(long lastIndex) {
		PendingSync sync = new PendingSync(this.nextSequence++, lastIndex, this.hardStateChanged, this.heldMessages);
		this.pending.addLast(sync);
		this.heldMessages = new ArrayList<>();
		this.hardStateChanged = false;
		this.writtenIndex = lastIndex;
		return sync.sequence;
	}

	// Marks the writes up to a sequence number as synced and returns the messages that
	// depended on them.
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

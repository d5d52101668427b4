package org.comfreywall.control.log;

import java.util.Optional;

/**
 * The leader's record of one other member: its replication progress, a snapshot transfer
 * and its last reply.
 */
final class FollowerProgress {

	private long matchIndex;

	private long nextIndex;

	private boolean probing = true;

	private Optional<ChunkedSnapshot> snapshot = Optional.empty();

	private long snapshotOffset;

	private boolean hasReplied;

	private long lastReplyAt;

	private long newestAnsweredSentNanos;

	FollowerProgress(long nextIndex) {
		this.nextIndex = nextIndex;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	boolean probing() {
		return this.probing;
	}

	Optional<ChunkedSnapshot> snapshot() {
		return this.snapshot;
	}

	long snapshotOffset() {
		return this.snapshotOffset;
	}

	void recordReply(long sentNanos, long now) {
		this.newestAnsweredSentNanos = (this.hasReplied && this.newestAnsweredSentNanos - sentNanos > 0)
				? this.newestAnsweredSentNanos : sentNanos;
		this.hasReplied = true;
		this.lastReplyAt = now;
	}

	boolean repliedWithin(long nanos, long now) {
		return this.hasReplied && now - this.lastReplyAt < nanos;
	}

	// Returns the time since the newest message that this member replied to was sent, in
	// nanoseconds.
	long answeredMessageAge(long now) {
		return this.hasReplied ? now - this.newestAnsweredSentNanos : Long.MAX_VALUE;
	}

	void recordSent(long index) {
		this.nextIndex = index + 1;
	}

	void onAccepted(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		this.probing = false;
	}

	void onRefused(long hint) {
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex, hint + 1));
		this.probing = true;
	}

	void startSnapshot(ChunkedSnapshot image) {
		this.snapshot = Optional.of(image);
		this.snapshotOffset = 0;
	}

	void snapshotOffset(long offset) {
		this.snapshotOffset = offset;
	}

	void snapshotInstalled(long index) {
		this.snapshot = Optional.empty();
		onAccepted(index);
	}

}

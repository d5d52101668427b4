package org.comfreywall.control.log;

import java.util.Optional;

/**
 * What the leader knows about one other member.
 */
final class FollowerProgress {

	private long matchIndex;

	private long nextIndex;

	private boolean probing = true;

	private Optional<SnapshotImage> snapshot = Optional.empty();

	private long snapshotOffset;

	private boolean contacted;

	private long lastContact;

	private long newestEcho;

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

	Optional<SnapshotImage> snapshot() {
		return this.snapshot;
	}

	long snapshotOffset() {
		return this.snapshotOffset;
	}

	void onContact(long sentNanos, long now) {
		this.newestEcho = (this.contacted && this.newestEcho - sentNanos > 0) ? this.newestEcho : sentNanos;
		this.contacted = true;
		this.lastContact = now;
	}

	boolean heardWithin(long nanos, long now) {
		return this.contacted && now - this.lastContact < nanos;
	}

	// Returns how long ago the newest message that this member answered was sent.
	long sinceAnsweredMessage(long now) {
		return this.contacted ? now - this.newestEcho : Long.MAX_VALUE;
	}

	void sentUpTo(long index) {
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

	void startSnapshot(SnapshotImage image) {
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

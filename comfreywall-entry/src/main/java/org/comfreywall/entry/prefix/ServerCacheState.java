package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;

/**
 * The state of the cache events from one incarnation of a backend server, with temporary
 * values of the match that is being computed.
 */
final class ServerCacheState {

	private static final long NONE = -1;

	private final BackendServerId server;

	private final Incarnation incarnation;

	private boolean active = true;

	private long lastSequence;

	private long gapSequence = NONE;

	private long snapshotSequence = NONE;

	private boolean resyncRequested;

	private long resyncRequestedAt;

	private long matchNumber;

	private int matchedBlocks;

	private double probability;

	private double expectedBlocks;

	ServerCacheState(BackendServerId server, Incarnation incarnation) {
		this.server = server;
		this.incarnation = incarnation;
	}

	BackendServerId server() {
		return this.server;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	boolean isActive() {
		return this.active;
	}

	void deactivate() {
		this.active = false;
	}

	/**
	 * Records the sequence number of an event, and a gap if numbers were skipped.
	 * @param sequence the event's sequence number
	 * @return {@code false} if an event with this number or a higher one was received
	 * before
	 */
	boolean acceptEvent(long sequence) {
		if (sequence <= this.lastSequence) {
			return false;
		}
		if (sequence > this.lastSequence + 1) {
			this.gapSequence = sequence;
		}
		this.lastSequence = sequence;
		return true;
	}

	/**
	 * Records the sequence number of a snapshot, which closes a gap if it includes all
	 * missing events.
	 * @param sequence the sequence number of the last event in the snapshot
	 * @return {@code false} if a snapshot at least as new was received before
	 */
	boolean acceptSnapshot(long sequence) {
		if (sequence <= this.snapshotSequence) {
			return false;
		}
		this.snapshotSequence = sequence;
		this.lastSequence = Math.max(this.lastSequence, sequence);
		this.resyncRequested = false;
		if (this.gapSequence <= sequence + 1) {
			this.gapSequence = NONE;
		}
		return true;
	}

	boolean hasGap() {
		return this.gapSequence != NONE;
	}

	/**
	 * Returns whether to request a snapshot now, and if so records the request.
	 * @param now the present time in nanoseconds
	 * @param interval the minimum time between requests in nanoseconds
	 * @return {@code true} if there is a gap and no request was made within the interval
	 */
	boolean pollResyncDue(long now, long interval) {
		if (!hasGap() || (this.resyncRequested && now - this.resyncRequestedAt < interval)) {
			return false;
		}
		this.resyncRequested = true;
		this.resyncRequestedAt = now;
		return true;
	}

	boolean isCurrent(BlockLocation location) {
		return this.active && location.sequence() >= this.snapshotSequence;
	}

	/**
	 * Adds a block to the match that is being computed, if the server also holds all
	 * blocks before it.
	 * @param match the number of the match
	 * @param block the block's position in the prompt
	 * @param held the probability that the server holds the block
	 * @return {@code true} if this is the server's first block in the match
	 */
	boolean addToMatch(long match, int block, double held) {
		boolean first = this.matchNumber != match;
		if (first) {
			this.matchNumber = match;
			this.matchedBlocks = 0;
			this.probability = 1;
			this.expectedBlocks = 0;
		}
		if (this.matchedBlocks == block) {
			this.matchedBlocks++;
			this.probability = Math.min(this.probability, held);
			this.expectedBlocks += this.probability;
		}
		return first;
	}

	double expectedBlocks() {
		return this.expectedBlocks;
	}

}

package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;

/**
 * State of one life of a backend server's event stream, with scratch values of the match
 * that is being computed.
 */
final class ServerCache {

	private static final long NONE = -1;

	private final BackendServerId server;

	private final Incarnation incarnation;

	private boolean alive = true;

	private long lastSequence;

	private long gapSequence = NONE;

	private long snapshotSequence = NONE;

	private boolean resyncAsked;

	private long resyncAskedAt;

	private long matchStamp;

	private int matchedBlocks;

	private double probability;

	private double expectedBlocks;

	ServerCache(BackendServerId server, Incarnation incarnation) {
		this.server = server;
		this.incarnation = incarnation;
	}

	BackendServerId server() {
		return this.server;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	boolean isAlive() {
		return this.alive;
	}

	void retire() {
		this.alive = false;
	}

	/**
	 * Notes the number of an event.
	 * @param sequence the event's number
	 * @return {@code false} if an event with this number or a later one came before
	 */
	boolean advance(long sequence) {
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
	 * Notes a snapshot.
	 * @param sequence the number of the last event in the snapshot
	 * @return {@code false} if a snapshot at least as new came before
	 */
	boolean advanceToSnapshot(long sequence) {
		if (sequence <= this.snapshotSequence) {
			return false;
		}
		this.snapshotSequence = sequence;
		this.lastSequence = Math.max(this.lastSequence, sequence);
		this.resyncAsked = false;
		if (this.gapSequence <= sequence + 1) {
			this.gapSequence = NONE;
		}
		return true;
	}

	boolean hasGap() {
		return this.gapSequence != NONE;
	}

	/**
	 * Notes a request for a snapshot unless one was made a short time ago.
	 * @param now the present time in nanoseconds
	 * @param interval the least time between requests in nanoseconds
	 * @return {@code true} if the request is to be made
	 */
	boolean askResync(long now, long interval) {
		if (!hasGap() || (this.resyncAsked && now - this.resyncAskedAt < interval)) {
			return false;
		}
		this.resyncAsked = true;
		this.resyncAskedAt = now;
		return true;
	}

	boolean covers(Claim claim) {
		return this.alive && claim.sequence() >= this.snapshotSequence;
	}

	/**
	 * Adds a block to the match that is being computed.
	 * @param stamp the number of the match
	 * @param block the block's position in the prompt
	 * @param held the probability that the server holds the block
	 * @return {@code true} if this is the server's first block in the match
	 */
	boolean matchBlock(long stamp, int block, double held) {
		boolean first = this.matchStamp != stamp;
		if (first) {
			this.matchStamp = stamp;
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

package org.comfreywall.entry.prefix;

/**
 * Records that a backend server is expected to hold a block, because an event reported it
 * or because a prompt with this block was sent to the server.
 *
 * @param cache the state of the server's prefix cache
 * @param sequence the sequence number of the event that reported the block;
 * {@link #ASSUMED} if none did
 * @param recordedAt when it was last reported or assumed, in nanoseconds on the entry's
 * clock
 */
record BlockLocation(ServerCacheState cache, long sequence, long recordedAt) {

	/**
	 * Sequence number of an assumed block. It is greater than that of any snapshot, so a
	 * snapshot does not remove assumed blocks.
	 */
	static final long ASSUMED = Long.MAX_VALUE;

	boolean isAssumed() {
		return this.sequence == ASSUMED;
	}

}

package org.comfreywall.entry.prefix;

/**
 * The belief that a backend server holds a block.
 *
 * @param cache the server's event stream
 * @param sequence the number of the event that told it; {@link #ASSUMED} if none did
 * @param learnedAt when it was learnt, in nanoseconds
 */
record Claim(ServerCache cache, long sequence, long learnedAt) {

	static final long ASSUMED = Long.MAX_VALUE;

	boolean isAssumed() {
		return this.sequence == ASSUMED;
	}

}

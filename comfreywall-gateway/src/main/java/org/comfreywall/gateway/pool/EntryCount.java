package org.comfreywall.gateway.pool;

/**
 * The number of entries that may send requests to the servers of a service. It never
 * shrinks, so that an entry that is cut off takes no larger share of what all divide.
 */
final class EntryCount {

	/**
	 * Time after which an entry that has just started knows the others, and their
	 * requests that were sent before they knew of it have ended.
	 */
	private static final long SETTLING_NANOS = 30_000_000_000L;

	private int most;

	private long firstAt;

	/**
	 * Records how many entries are known.
	 * @param entries the number, with this entry
	 * @param now the current time in nanoseconds
	 */
	void record(int entries, long now) {
		if (this.most == 0) {
			this.firstAt = now;
		}
		this.most = Math.max(this.most, entries);
	}

	/**
	 * Returns the number of entries.
	 * @param now the current time in nanoseconds
	 * @return the largest number that was recorded; 0 if it may still be too small
	 */
	int count(long now) {
		return (this.most > 0 && now - this.firstAt >= SETTLING_NANOS) ? this.most : 0;
	}

}

package org.comfreywall.gateway.http;

/**
 * Measures how a response reached its caller: the time to its first part and the longest
 * pause between parts.
 */
final class ResponseTiming {

	private final long arrival;

	private long firstAt;

	private long lastAt;

	private long longestPause;

	/**
	 * Creates the timing of a response that has not begun.
	 * @param arrival when the request was read completely, in nanoseconds
	 */
	ResponseTiming(long arrival) {
		this.arrival = arrival;
	}

	/**
	 * Records that a part was sent to the caller.
	 * @param now the present time in nanoseconds
	 */
	void recordPart(long now) {
		if (this.firstAt == 0) {
			this.firstAt = now;
		}
		else {
			this.longestPause = Math.max(this.longestPause, now - this.lastAt);
		}
		this.lastAt = now;
	}

	/**
	 * Returns the time from the request to the first part.
	 * @return the time in nanoseconds, or 0 if no part was sent
	 */
	long timeToFirstPartNanos() {
		return (this.firstAt != 0) ? this.firstAt - this.arrival : 0;
	}

	/**
	 * Returns the longest time between two parts.
	 * @return the time in nanoseconds, or 0 if fewer than two parts were sent
	 */
	long longestPauseNanos() {
		return this.longestPause;
	}

}

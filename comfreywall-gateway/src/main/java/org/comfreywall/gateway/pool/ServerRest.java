package org.comfreywall.gateway.pool;

/**
 * A time for which a backend server asked this entry to send it no requests. Afterwards
 * it gets a growing share of its slots, so that what was kept from it does not arrive at
 * once.
 *
 * @param startedMillis the start of the server's incarnation
 * @param resumesAt the time in nanoseconds at which requests are sent again
 */
record ServerRest(long startedMillis, long resumesAt) {

	/** Time over which a server is taken up again. */
	private static final long RAMP_NANOS = 1_000_000_000L;

	boolean isOver(long now) {
		return now >= this.resumesAt;
	}

	/**
	 * Returns the requests that this entry may have in flight on the server.
	 * @param slots the server's slots
	 * @param now the current time in nanoseconds
	 * @return 0 until the rest is over, all slots once the server is taken up again
	 */
	int maxInFlight(int slots, long now) {
		if (!isOver(now)) {
			return 0;
		}
		double share = Math.min(1, (double) (now - this.resumesAt) / RAMP_NANOS);
		return Math.max(1, (int) (share * slots));
	}

}

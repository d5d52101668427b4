package org.comfreywall.gateway.http;

/**
 * Whether the responses of a service that this entry is receiving still advance. While a
 * group of backend servers stands still, none of its servers begins a response.
 */
final class ServiceProgress {

	/** Longer than a forward pass, and shorter than the stall after a server is lost. */
	private static final long STALL_NANOS = 400_000_000L;

	/**
	 * Longer than a forward pass of a slow group. A group that lost a server stalls for
	 * longer before it rejects requests.
	 */
	private static final long SILENCE_NANOS = 1_200_000_000L;

	private int open;

	private boolean begun;

	private long lastPartAt;

	void begin(long now) {
		this.open++;
		this.begun = true;
		this.lastPartAt = now;
	}

	void advance(long now) {
		this.lastPartAt = now;
	}

	void end() {
		this.open--;
	}

	boolean isStalled(long now) {
		return this.open > 0 && now - this.lastPartAt > STALL_NANOS;
	}

	/**
	 * Returns whether the service sent responses before but none recently.
	 * @param now the current time in nanoseconds
	 * @return {@code true} if it is silent, whether or not a response is open
	 */
	boolean isSilent(long now) {
		return this.begun && now - this.lastPartAt > SILENCE_NANOS;
	}

}

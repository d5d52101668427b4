package org.comfreywall.gateway.http;

/**
 * Whether the responses of a service that this entry is receiving still advance. While a
 * group of backend servers stands still, none of its servers begins a response.
 */
final class ServiceProgress {

	/** Longer than a forward pass, and shorter than the stall after a server is lost. */
	private static final long STALL_NANOS = 400_000_000L;

	private int open;

	private long lastPartAt;

	void begin(long now) {
		this.open++;
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

}

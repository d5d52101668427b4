package org.comfreywall.entry.limit;

/**
 * Estimates the rate at which a client account offers requests to this entry.
 */
final class OfferedRate {

	private static final double SMOOTHING = 0.5;

	private static final long SHORTEST_WINDOW_NANOS = 50_000_000;

	private final long windowNanos;

	private long windowStart;

	private long requests;

	private long tokens;

	private double requestsPerNano;

	private double tokensPerNano;

	OfferedRate(long windowNanos, long now) {
		this.windowNanos = windowNanos;
		this.windowStart = now;
	}

	void add(long tokens, long now) {
		roll(now);
		this.requests++;
		this.tokens += tokens;
	}

	double requestsPerNano(long now) {
		roll(now);
		return Math.max(this.requestsPerNano, perNano(this.requests - 1, now));
	}

	double tokensPerNano(long now) {
		double requestRate = requestsPerNano(now);
		double mean = (this.requestsPerNano > 0) ? this.tokensPerNano / this.requestsPerNano : 0;
		double current = (this.requests > 0) ? (double) this.tokens / this.requests : 0;
		return requestRate * Math.max(mean, current);
	}

	private double perNano(long amount, long now) {
		return Math.max(0, amount) / (double) Math.max(SHORTEST_WINDOW_NANOS, now - this.windowStart);
	}

	private void roll(long now) {
		long elapsed = now - this.windowStart;
		if (elapsed < this.windowNanos) {
			return;
		}
		double keep = Math.pow(1 - SMOOTHING, Math.min(64, elapsed / this.windowNanos));
		this.requestsPerNano = this.requestsPerNano * keep + (1 - keep) * this.requests / elapsed;
		this.tokensPerNano = this.tokensPerNano * keep + (1 - keep) * this.tokens / elapsed;
		this.requests = 0;
		this.tokens = 0;
		this.windowStart = now;
	}

}

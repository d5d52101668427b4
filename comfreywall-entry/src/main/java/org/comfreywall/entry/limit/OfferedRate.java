package org.comfreywall.entry.limit;

/**
 * Estimates the rate of requests and tokens that a client account offers to this entry:
 * an exponential moving average over windows, or the rate of the current window if that
 * is higher.
 */
final class OfferedRate {

	private static final double SMOOTHING = 0.5;

	private static final long MIN_WINDOW_NANOS = 50_000_000;

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
		rollWindow(now);
		this.requests++;
		this.tokens += tokens;
	}

	double requestsPerNano(long now) {
		rollWindow(now);
		return Math.max(this.requestsPerNano, perNano(this.requests - 1, now));
	}

	double tokensPerNano(long now) {
		double requestsPerNano = requestsPerNano(now);
		double mean = (this.requestsPerNano > 0) ? this.tokensPerNano / this.requestsPerNano : 0;
		double current = (this.requests > 0) ? (double) this.tokens / this.requests : 0;
		return requestsPerNano * Math.max(mean, current);
	}

	private double perNano(long amount, long now) {
		return Math.max(0, amount) / (double) Math.max(MIN_WINDOW_NANOS, now - this.windowStart);
	}

	private void rollWindow(long now) {
		long elapsed = now - this.windowStart;
		if (elapsed < this.windowNanos) {
			return;
		}
		double weightOfPast = Math.pow(1 - SMOOTHING, Math.min(64, elapsed / this.windowNanos));
		this.requestsPerNano = this.requestsPerNano * weightOfPast + (1 - weightOfPast) * this.requests / elapsed;
		this.tokensPerNano = this.tokensPerNano * weightOfPast + (1 - weightOfPast) * this.tokens / elapsed;
		this.requests = 0;
		this.tokens = 0;
		this.windowStart = now;
	}

}

package org.comfreywall.entry.admit;

/**
 * An exponential moving average of work per nanosecond, updated once a window.
 */
final class WorkRate {

	private static final long WINDOW_NANOS = 100_000_000;

	private static final double SMOOTHING = 0.3;

	private long windowStart;

	private double work;

	private double perNano;

	private boolean known;

	void add(double work, long now) {
		rollWindow(now);
		this.work += work;
	}

	double perNano(long now) {
		rollWindow(now);
		return this.perNano;
	}

	boolean isKnown() {
		return this.known;
	}

	private void rollWindow(long now) {
		if (!this.known && this.windowStart == 0) {
			this.windowStart = now;
		}
		long elapsed = now - this.windowStart;
		if (elapsed < WINDOW_NANOS) {
			return;
		}
		double keep = this.known ? Math.pow(1 - SMOOTHING, Math.min(64, elapsed / WINDOW_NANOS)) : 0;
		this.perNano = this.perNano * keep + (1 - keep) * this.work / elapsed;
		this.known = true;
		this.work = 0;
		this.windowStart = now;
	}

}

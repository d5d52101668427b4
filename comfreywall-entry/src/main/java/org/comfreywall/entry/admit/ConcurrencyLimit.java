package org.comfreywall.entry.admit;

/**
 * Adapts the number of requests that may run at one time to the time they take.
 * <p>
 * The time is compared with the shortest mean of any window. That baseline rises only
 * while the limit is not reached, since only then does a longer time not stem from too
 * many requests at one time.
 */
final class ConcurrencyLimit {

	private static final int MIN_SAMPLES = 16;

	private static final double OVERLOADED_SHARE = 0.05;

	private static final double SMALLEST_STEP = 0.8;

	private static final double GROWTH = 0.05;

	private static final double BASELINE_RISE = 0.02;

	private static final double REACHED = 0.9;

	private final AdmissionSettings settings;

	private double limit;

	private double baseline;

	private long windowStart = Long.MIN_VALUE;

	private double time;

	private int samples;

	private int ended;

	private int overloaded;

	private int mostRunning;

	ConcurrencyLimit(AdmissionSettings settings) {
		this.settings = settings;
		this.limit = settings.initialConcurrency();
	}

	void running(int running) {
		this.mostRunning = Math.max(this.mostRunning, running);
	}

	void ended(FinishKind kind, double nanosPerCost, long now) {
		if (kind == FinishKind.CANCELLED) {
			return;
		}
		this.ended++;
		if (kind == FinishKind.OVERLOADED) {
			this.overloaded++;
		}
		if (kind == FinishKind.ANSWERED) {
			this.samples++;
			this.time += nanosPerCost;
		}
		if (this.windowStart == Long.MIN_VALUE) {
			this.windowStart = now;
		}
		if (this.ended >= MIN_SAMPLES && now - this.windowStart >= this.settings.adaptInterval().toNanos()) {
			adapt();
			startWindow(now);
		}
	}

	int limit() {
		return (int) this.limit;
	}

	private void adapt() {
		boolean reached = this.mostRunning >= REACHED * this.limit;
		double next = this.limit;
		if (this.overloaded > OVERLOADED_SHARE * this.ended) {
			next *= SMALLEST_STEP;
		}
		else if (this.samples > 0) {
			double mean = this.time / this.samples;
			learn(mean, reached);
			double gradient = this.baseline * this.settings.latencyTolerance() / mean;
			if (gradient < 1) {
				next *= Math.max(SMALLEST_STEP, gradient);
			}
			else if (reached) {
				next += Math.max(1, GROWTH * this.limit);
			}
		}
		this.limit = Math.max(this.settings.minConcurrency(), Math.min(next, this.settings.maxConcurrency()));
	}

	private void learn(double mean, boolean reached) {
		if (this.baseline == 0 || mean < this.baseline) {
			this.baseline = mean;
		}
		else if (!reached) {
			this.baseline += BASELINE_RISE * (mean - this.baseline);
		}
	}

	private void startWindow(long now) {
		this.windowStart = now;
		this.time = 0;
		this.samples = 0;
		this.ended = 0;
		this.overloaded = 0;
		this.mostRunning = 0;
	}

}

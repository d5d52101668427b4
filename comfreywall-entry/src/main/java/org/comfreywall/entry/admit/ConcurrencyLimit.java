package org.comfreywall.entry.admit;

/**
 * Adapts the number of requests that may run at one time to the time they take.
 * <p>
 * The mean time of a window is compared with a baseline, the mean time with little load.
 * The baseline follows the mean while the limit is not reached, since only then does a
 * longer time not stem from too many requests at one time. If the limit stays reached,
 * the baseline is measured anew now and then with a third of the requests.
 */
final class ConcurrencyLimit {

	private static final int MIN_SAMPLES = 64;

	private static final int PROBE_SAMPLES = 96;

	private static final int PROBE_DIVISOR = 3;

	private static final int SETTLING_TURNS = 2;

	private static final double MOST_BASELINE_RISE = 1.2;

	private static final long PROBE_AFTER_NANOS = 10_000_000_000L;

	private static final long LONGEST_PROBE_NANOS = 5_000_000_000L;

	private static final double DISTURBED_SHARE = 0.05;

	private static final double SMALLEST_STEP = 0.8;

	private static final double SMALLEST_LATENCY_STEP = 0.9;

	private static final double GROWTH = 0.03;

	private static final double QUICK_GROWTH = 0.15;

	private static final double BASELINE_RISE = 0.1;

	private static final double SMOOTHING = 0.4;

	private static final double NEAR_BASELINE = 1.1;

	private static final double REACHED = 0.9;

	private final AdmissionSettings settings;

	private final LoadWindow window = new LoadWindow();

	private double limit;

	private double baseline;

	private double smoothed;

	private long baselineAt;

	private Probe probe = Probe.NONE;

	private long probeFrom;

	private double limitAfterProbe;

	ConcurrencyLimit(AdmissionSettings settings) {
		this.settings = settings;
		this.limit = settings.initialConcurrency();
	}

	void started(double cost, long now) {
		this.window.started(cost, now);
	}

	void ended(FinishKind kind, double cost, long now) {
		this.window.ended(kind, cost, now);
		if (this.probe != Probe.NONE) {
			probe(now);
		}
		else if (this.window.count() >= MIN_SAMPLES && isLongEnough(now)) {
			adapt(now);
		}
	}

	int limit() {
		return (int) this.limit;
	}

	private boolean isLongEnough(long now) {
		return this.window.length(now) >= this.settings.adaptInterval().toNanos();
	}

	private void adapt(long now) {
		boolean reached = this.window.mostRunning() >= REACHED * this.limit;
		if (this.window.share(FinishKind.OVERLOADED) > DISTURBED_SHARE) {
			change(this.limit * SMALLEST_STEP);
		}
		else if (this.window.share(FinishKind.FAILED) <= DISTURBED_SHARE) {
			follow(this.window.meanNanosPerCost(), reached, now);
		}
		this.window.restart(now);
		if (reached && now - this.baselineAt > PROBE_AFTER_NANOS) {
			this.probe = Probe.SETTLING;
			this.probeFrom = now;
			this.limitAfterProbe = this.limit;
			change(this.limit / PROBE_DIVISOR);
		}
	}

	private void follow(double mean, boolean reached, long now) {
		learn(mean, reached, now);
		this.smoothed += SMOOTHING * (mean - this.smoothed);
		double gradient = this.baseline * this.settings.latencyTolerance() / this.smoothed;
		if (gradient < 1) {
			change(this.limit * Math.max(SMALLEST_LATENCY_STEP, gradient));
		}
		else if (reached) {
			double growth = (this.smoothed < NEAR_BASELINE * this.baseline) ? QUICK_GROWTH : GROWTH;
			change(this.limit + Math.max(1, growth * this.limit));
		}
	}

	private void learn(double mean, boolean reached, long now) {
		if (this.baseline == 0) {
			this.baseline = mean;
			this.smoothed = mean;
		}
		if (!reached) {
			this.baseline += BASELINE_RISE * (mean - this.baseline);
			this.baselineAt = now;
		}
	}

	private void probe(long now) {
		if (now - this.probeFrom > LONGEST_PROBE_NANOS) {
			endProbe(now);
		}
		else if (this.probe == Probe.SETTLING) {
			settle(now);
		}
		else if (this.window.count() >= PROBE_SAMPLES && isLongEnough(now)) {
			double measured = Math.min(this.window.meanNanosPerCost(), MOST_BASELINE_RISE * this.baseline);
			this.baseline = (this.baseline + measured) / 2;
			endProbe(now);
		}
	}

	private void settle(long now) {
		if (this.window.running() > this.limit) {
			this.window.restart(now);
		}
		else if (this.window.count() >= SETTLING_TURNS * this.limit) {
			this.probe = Probe.MEASURING;
			this.window.restart(now);
		}
	}

	private void endProbe(long now) {
		this.probe = Probe.NONE;
		this.baselineAt = now;
		this.limit = this.limitAfterProbe;
		this.window.restart(now);
	}

	private void change(double next) {
		this.limit = Math.max(this.settings.minConcurrency(), Math.min(next, this.settings.maxConcurrency()));
	}

	private enum Probe {

		NONE, SETTLING, MEASURING

	}

}

package org.comfreywall.entry.admit;

/**
 * An adaptive concurrency limit, based on the ratio of the run time to a baseline.
 * <p>
 * The mean run time of a window is compared with a baseline, the mean run time at low
 * load. The baseline tracks the mean while the limit is not reached: only then is a
 * longer run time not caused by the concurrency. If the limit stays reached, the baseline
 * is measured again from time to time (a probe) with a third of the concurrency. Run
 * times are in nanoseconds per unit of cost.
 */
final class ConcurrencyLimit {

	private static final int MIN_SAMPLES = 64;

	private static final int PROBE_SAMPLES = 96;

	private static final int PROBE_DIVISOR = 3;

	/** Requests that must end before a probe measures, as a multiple of the limit. */
	private static final int SETTLING_ROUNDS = 2;

	/** Upper bound of a probed mean, as a multiple of the present baseline. */
	private static final double MAX_BASELINE_RATIO = 1.2;

	private static final long MAX_BASELINE_AGE_NANOS = 10_000_000_000L;

	private static final long MAX_PROBE_NANOS = 5_000_000_000L;

	/**
	 * Share of a window's requests: with more overloaded ones the limit is reduced, with
	 * more failed ones the window is ignored.
	 */
	private static final double MAX_FAILURE_SHARE = 0.05;

	private static final double OVERLOAD_DECREASE_FACTOR = 0.8;

	private static final double MIN_LATENCY_DECREASE_FACTOR = 0.9;

	private static final double GROWTH_SHARE = 0.03;

	private static final double FAST_GROWTH_SHARE = 0.15;

	private static final double BASELINE_SMOOTHING = 0.1;

	private static final double MEAN_SMOOTHING = 0.4;

	/** Ratio of the smoothed mean to the baseline below which the limit grows fast. */
	private static final double FAST_GROWTH_MAX_RATIO = 1.1;

	/** Share of the limit from which it counts as reached. */
	private static final double REACHED_SHARE = 0.9;

	private final AdmissionSettings settings;

	private final LatencyWindow window = new LatencyWindow();

	private double limit;

	private double baselineNanosPerCost;

	private double smoothedNanosPerCost;

	private long baselineUpdatedAt;

	private ProbePhase probePhase = ProbePhase.NONE;

	private long probeStartedAt;

	private double limitAfterProbe;

	ConcurrencyLimit(AdmissionSettings settings) {
		this.settings = settings;
		this.limit = settings.initialConcurrency();
	}

	void requestStarted(double cost, long now) {
		this.window.requestStarted(cost, now);
	}

	void requestEnded(FinishKind kind, double cost, long now) {
		this.window.requestEnded(kind, cost, now);
		if (this.probePhase != ProbePhase.NONE) {
			continueProbe(now);
		}
		else if (this.window.endedCount() >= MIN_SAMPLES && isLongEnough(now)) {
			adapt(now);
		}
	}

	int limit() {
		return (int) this.limit;
	}

	private boolean isLongEnough(long now) {
		return this.window.elapsedNanos(now) >= this.settings.adaptInterval().toNanos();
	}

	private void adapt(long now) {
		boolean reached = this.window.maxRunning() >= REACHED_SHARE * this.limit;
		if (this.window.shareOfEnded(FinishKind.OVERLOADED) > MAX_FAILURE_SHARE) {
			setLimit(this.limit * OVERLOAD_DECREASE_FACTOR);
		}
		else if (this.window.shareOfEnded(FinishKind.FAILED) <= MAX_FAILURE_SHARE) {
			adjustToLatency(this.window.meanNanosPerCost(), reached, now);
		}
		this.window.restart(now);
		if (reached && now - this.baselineUpdatedAt > MAX_BASELINE_AGE_NANOS) {
			this.probePhase = ProbePhase.SETTLING;
			this.probeStartedAt = now;
			this.limitAfterProbe = this.limit;
			setLimit(this.limit / PROBE_DIVISOR);
		}
	}

	private void adjustToLatency(double mean, boolean reached, long now) {
		updateBaseline(mean, reached, now);
		this.smoothedNanosPerCost += MEAN_SMOOTHING * (mean - this.smoothedNanosPerCost);
		double gradient = this.baselineNanosPerCost * this.settings.latencyTolerance() / this.smoothedNanosPerCost;
		if (gradient < 1) {
			setLimit(this.limit * Math.max(MIN_LATENCY_DECREASE_FACTOR, gradient));
		}
		else if (reached) {
			double growth = (this.smoothedNanosPerCost < FAST_GROWTH_MAX_RATIO * this.baselineNanosPerCost)
					? FAST_GROWTH_SHARE : GROWTH_SHARE;
			setLimit(this.limit + Math.max(1, growth * this.limit));
		}
	}

	private void updateBaseline(double mean, boolean reached, long now) {
		if (this.baselineNanosPerCost == 0) {
			this.baselineNanosPerCost = mean;
			this.smoothedNanosPerCost = mean;
		}
		if (!reached) {
			this.baselineNanosPerCost += BASELINE_SMOOTHING * (mean - this.baselineNanosPerCost);
			this.baselineUpdatedAt = now;
		}
	}

	private void continueProbe(long now) {
		if (now - this.probeStartedAt > MAX_PROBE_NANOS) {
			endProbe(now);
		}
		else if (this.probePhase == ProbePhase.SETTLING) {
			startMeasuringOnceSettled(now);
		}
		else if (this.window.endedCount() >= PROBE_SAMPLES && isLongEnough(now)) {
			double measured = Math.min(this.window.meanNanosPerCost(), MAX_BASELINE_RATIO * this.baselineNanosPerCost);
			this.baselineNanosPerCost = (this.baselineNanosPerCost + measured) / 2;
			endProbe(now);
		}
	}

	private void startMeasuringOnceSettled(long now) {
		if (this.window.running() > this.limit) {
			this.window.restart(now);
		}
		else if (this.window.endedCount() >= SETTLING_ROUNDS * this.limit) {
			this.probePhase = ProbePhase.MEASURING;
			this.window.restart(now);
		}
	}

	private void endProbe(long now) {
		this.probePhase = ProbePhase.NONE;
		this.baselineUpdatedAt = now;
		this.limit = this.limitAfterProbe;
		this.window.restart(now);
	}

	private void setLimit(double next) {
		this.limit = Math.max(this.settings.minConcurrency(), Math.min(next, this.settings.maxConcurrency()));
	}

	private enum ProbePhase {

		NONE, SETTLING, MEASURING

	}

}

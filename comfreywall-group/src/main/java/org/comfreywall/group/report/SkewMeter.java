package org.comfreywall.group.report;

import java.util.Arrays;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.comfreywall.common.util.Preconditions;

/**
 * Measures the step-time skew of a group: the step time of the slowest rank divided by
 * the mean of all ranks.
 * <p>
 * A step is recorded once the times of all ranks are known. Only the latest
 * {@value #MAX_INCOMPLETE_STEPS} incomplete steps are kept.
 */
public final class SkewMeter {

	/** Maximum number of incomplete steps kept. */
	static final int MAX_INCOMPLETE_STEPS = 64;

	/** Recorded value of a skew of 1; skews are recorded in thousandths. */
	static final int SCALE = 1000;

	private static final long MAX_SKEW = 1000L * SCALE;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final long MISSING = -1;

	private final int ranks;

	private final TreeMap<Long, long[]> incomplete = new TreeMap<>();

	private final Histogram histogram = new Histogram(MAX_SKEW, SIGNIFICANT_DIGITS);

	/**
	 * Creates a meter without samples.
	 * @param ranks the number of ranks in the group
	 */
	public SkewMeter(int ranks) {
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.ranks = ranks;
	}

	/**
	 * Records the compute time of a rank in a step.
	 * @param rank the rank
	 * @param step the step
	 * @param nanos the compute time in nanoseconds, without the wait for other ranks
	 */
	public void record(int rank, long step, long nanos) {
		Preconditions.check(rank >= 0 && rank < this.ranks, "rank must be at least 0 and below %d: %d", this.ranks,
				rank);
		Preconditions.check(nanos >= 0, "nanos must not be negative: %d", nanos);
		long[] times = this.incomplete.computeIfAbsent(step, (key) -> newTimes());
		times[rank] = nanos;
		if (Arrays.stream(times).noneMatch((time) -> time == MISSING)) {
			this.incomplete.remove(step);
			this.histogram.recordValue(Math.min(MAX_SKEW, skew(times)));
		}
		else if (this.incomplete.size() > MAX_INCOMPLETE_STEPS) {
			this.incomplete.pollFirstEntry();
		}
	}

	/**
	 * Returns a copy of the recorded skews.
	 * @return the histogram in thousandths: a value of 1000 is a skew of 1
	 */
	public Histogram snapshot() {
		return this.histogram.copy();
	}

	/**
	 * Clears the recorded skews; incomplete steps are kept.
	 */
	public void reset() {
		this.histogram.reset();
	}

	private long[] newTimes() {
		long[] times = new long[this.ranks];
		Arrays.fill(times, MISSING);
		return times;
	}

	private static long skew(long[] times) {
		long slowest = Arrays.stream(times).max().orElseThrow();
		double mean = Arrays.stream(times).average().orElseThrow();
		return (mean > 0) ? Math.round(SCALE * slowest / mean) : SCALE;
	}

}

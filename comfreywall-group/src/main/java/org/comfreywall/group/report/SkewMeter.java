package org.comfreywall.group.report;

import java.util.Arrays;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.comfreywall.common.util.Preconditions;

/**
 * Measures the step-time skew of a group, which is the slowest rank's step time over the
 * mean of all ranks.
 * <p>
 * Steps wait for all ranks' times; only the latest {@value #OPEN_STEPS} incomplete ones
 * are kept.
 */
public final class SkewMeter {

	/** The greatest number of incomplete steps kept. */
	static final int OPEN_STEPS = 64;

	/** Units in which a skew of one is recorded. */
	static final int SCALE = 1000;

	private static final long HIGHEST = 1000L * SCALE;

	private static final int DIGITS = 3;

	private static final long MISSING = -1;

	private final int ranks;

	private final TreeMap<Long, long[]> open = new TreeMap<>();

	private final Histogram histogram = new Histogram(HIGHEST, DIGITS);

	/**
	 * Creates a meter without samples.
	 * @param ranks the number of ranks in the group
	 */
	public SkewMeter(int ranks) {
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.ranks = ranks;
	}

	/**
	 * Records the time a rank computed in a step.
	 * @param rank the rank
	 * @param step the step
	 * @param nanos the time in nanoseconds, without waiting for other ranks
	 */
	public void record(int rank, long step, long nanos) {
		Preconditions.check(rank >= 0 && rank < this.ranks, "rank must be below %d: %d", this.ranks, rank);
		Preconditions.check(nanos >= 0, "nanos must not be negative: %d", nanos);
		long[] times = this.open.computeIfAbsent(step, (key) -> newTimes());
		times[rank] = nanos;
		if (Arrays.stream(times).noneMatch((time) -> time == MISSING)) {
			this.open.remove(step);
			this.histogram.recordValue(Math.min(HIGHEST, skew(times)));
		}
		else if (this.open.size() > OPEN_STEPS) {
			this.open.pollFirstEntry();
		}
	}

	/**
	 * Copies the skews recorded so far.
	 * @return a histogram in thousandths, so that 1000 stands for a skew of 1
	 */
	public Histogram snapshot() {
		return this.histogram.copy();
	}

	/**
	 * Forgets all skews recorded so far.
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

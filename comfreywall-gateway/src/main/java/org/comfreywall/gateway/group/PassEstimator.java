package org.comfreywall.gateway.group;

/**
 * Estimates the present pass of a group and the duration of its passes from the reports
 * of its ranks.
 */
final class PassEstimator {

	private static final double SMOOTHING = 0.3;

	private static final double INITIAL_NANOS = 60_000_000.0;

	/**
	 * A longer time between passes means that the group was idle or held, and is not
	 * measured.
	 */
	private static final double MAX_PASS_NANOS = 500_000_000.0;

	/**
	 * If more than this share of the present pass is over, the next one may begin before
	 * an order arrives.
	 */
	private static final double LATE_SHARE = 0.5;

	/**
	 * The most passes that are assumed to have begun since the last report; an idle group
	 * runs none.
	 */
	private static final double MAX_UNREPORTED_PASSES = 8;

	private double averagePassNanos = INITIAL_NANOS;

	private boolean measured;

	private long step = Long.MIN_VALUE;

	private long begunAt;

	/**
	 * Records that a pass has begun. All ranks begin it together, so only the first
	 * report of it is measured.
	 * @param pass the number of the pass
	 * @param now the present time in nanoseconds
	 */
	void recordPassStart(long pass, long now) {
		boolean first = this.step == Long.MIN_VALUE;
		if (!first && pass <= this.step) {
			return;
		}
		double sample = first ? MAX_PASS_NANOS : (double) (now - this.begunAt) / (pass - this.step);
		if (sample < MAX_PASS_NANOS) {
			this.averagePassNanos += (this.measured ? SMOOTHING : 1) * (sample - this.averagePassNanos);
			this.measured = true;
		}
		this.step = pass;
		this.begunAt = now;
	}

	/**
	 * Forgets the present pass, as a group that was formed again restarts its numbering.
	 */
	void reset() {
		this.step = Long.MIN_VALUE;
	}

	/**
	 * Returns the duration of a pass.
	 * @return the exponential moving average in nanoseconds
	 */
	double averagePassNanos() {
		return this.averagePassNanos;
	}

	/**
	 * Returns a pass that an order sent now should reach before it begins. An order that
	 * arrives too late is refused and costs a round trip; one for a pass too far ahead
	 * delays the switch.
	 * @param lead the number of passes from the present one to the one returned
	 * @param now the present time in nanoseconds
	 * @return the pass
	 */
	long passAhead(int lead, long now) {
		double elapsed = Math.min(MAX_UNREPORTED_PASSES, (now - this.begunAt) / this.averagePassNanos);
		boolean late = elapsed - Math.floor(elapsed) > LATE_SHARE;
		return this.step + (long) Math.floor(elapsed) + lead + (late ? 1 : 0);
	}

}

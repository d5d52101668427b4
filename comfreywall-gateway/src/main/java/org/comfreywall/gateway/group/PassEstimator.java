package org.comfreywall.gateway.group;

/**
 * Estimates the current pass of a group and the duration of its passes from the reports
 * of its ranks.
 */
final class PassEstimator {

	private static final double SMOOTHING = 0.3;

	private static final double INITIAL_PASS_NANOS = 60_000_000.0;

	/**
	 * A longer time between two passes means that the group was idle or a pass was held,
	 * and is not averaged.
	 */
	private static final double MAX_PASS_NANOS = 500_000_000.0;

	/**
	 * Share of the current pass after which the next one may begin before an order
	 * arrives.
	 */
	private static final double LATE_SHARE = 0.5;

	/**
	 * Maximum number of passes that are assumed to have begun since the last report, as
	 * an idle group runs none.
	 */
	private static final double MAX_UNREPORTED_PASSES = 8;

	private double averagePassNanos = INITIAL_PASS_NANOS;

	private boolean measured;

	private long lastPass = Long.MIN_VALUE;

	private long lastPassStartedAt;

	/**
	 * Records a report that a pass has begun. All ranks begin it together, so only the
	 * first report of each pass is used.
	 * @param pass the number of the pass
	 * @param now the current time in nanoseconds
	 */
	void recordPassStart(long pass, long now) {
		boolean first = this.lastPass == Long.MIN_VALUE;
		if (!first && pass <= this.lastPass) {
			return;
		}
		double sample = first ? MAX_PASS_NANOS : (double) (now - this.lastPassStartedAt) / (pass - this.lastPass);
		if (sample < MAX_PASS_NANOS) {
			this.averagePassNanos += (this.measured ? SMOOTHING : 1) * (sample - this.averagePassNanos);
			this.measured = true;
		}
		this.lastPass = pass;
		this.lastPassStartedAt = now;
	}

	/**
	 * Discards the last pass, as a group that was formed again restarts its numbering.
	 * The average duration is kept.
	 */
	void reset() {
		this.lastPass = Long.MIN_VALUE;
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
	 * @param lead the number of passes from the current one to the one returned; one is
	 * added if more than half of the current pass is over
	 * @param now the current time in nanoseconds
	 * @return the pass
	 */
	long passAhead(int lead, long now) {
		double elapsed = Math.min(MAX_UNREPORTED_PASSES, (now - this.lastPassStartedAt) / this.averagePassNanos);
		boolean late = elapsed - Math.floor(elapsed) > LATE_SHARE;
		return this.lastPass + (long) Math.floor(elapsed) + lead + (late ? 1 : 0);
	}

}

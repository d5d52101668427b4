package org.comfreywall.group.mapswitch;

/**
 * The step chosen for a switch and the figures it was chosen by.
 *
 * @param firstStep the first step under the new map
 * @param leadSteps the steps between the estimated present step and the chosen one
 * @param leadNanos the time those steps must at least take, in nanoseconds
 * @param stepNanos the step time estimated, in nanoseconds
 */
record BoundaryChoice(long firstStep, long leadSteps, long leadNanos, long stepNanos) {

	/** Steps by which a rank may be ahead of the estimate. */
	private static final int RUN_AHEAD_STEPS = 2;

	static BoundaryChoice of(RankTable table, long leadNanos, long lastBoundary, long now) {
		long stepNanos = table.stepNanos();
		long leadSteps = leadNanos / stepNanos + 1 + RUN_AHEAD_STEPS;
		long firstStep = Math.max(table.latestStep(now), lastBoundary) + leadSteps;
		return new BoundaryChoice(firstStep, leadSteps, leadNanos, stepNanos);
	}

	long deadline(long now) {
		return now + this.leadNanos / 2;
	}

}

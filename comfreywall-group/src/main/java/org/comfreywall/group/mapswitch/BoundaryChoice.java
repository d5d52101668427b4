package org.comfreywall.group.mapswitch;

/**
 * The first step chosen for a switch, and the inputs of that choice.
 *
 * @param firstStep the first step under the new map
 * @param leadSteps the number of steps between the estimated current step and the first
 * step
 * @param leadNanos the minimum time that those steps must take, in nanoseconds
 * @param stepNanos the estimated step time, in nanoseconds
 */
record BoundaryChoice(long firstStep, long leadSteps, long leadNanos, long stepNanos) {

	/** Number of steps by which a rank may be ahead of the estimated current step. */
	private static final int RUN_AHEAD_STEPS = 2;

	static BoundaryChoice of(RankProgress progress, long leadNanos, long lastFirstStep, long now) {
		long stepNanos = progress.stepNanos();
		long leadSteps = leadNanos / stepNanos + 1 + RUN_AHEAD_STEPS;
		long firstStep = Math.max(progress.estimateLatestStep(now), lastFirstStep) + leadSteps;
		return new BoundaryChoice(firstStep, leadSteps, leadNanos, stepNanos);
	}

	long armDeadline(long now) {
		return now + this.leadNanos / 2;
	}

}

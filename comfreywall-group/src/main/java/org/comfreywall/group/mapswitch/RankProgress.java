package org.comfreywall.group.mapswitch;

import java.util.Arrays;

/**
 * Latest reported step and step time of each rank.
 */
final class RankProgress {

	private static final int NO_STEP = -1;

	private final long[] lastSteps;

	private final long[] stepNanos;

	private final long[] reportedAt;

	private final long assumedStepNanos;

	RankProgress(int ranks, long assumedStepNanos) {
		this.lastSteps = new long[ranks];
		this.stepNanos = new long[ranks];
		this.reportedAt = new long[ranks];
		this.assumedStepNanos = assumedStepNanos;
		Arrays.fill(this.lastSteps, NO_STEP);
	}

	void update(int rank, long lastStep, long nanos, long now) {
		if (lastStep >= this.lastSteps[rank]) {
			this.lastSteps[rank] = lastStep;
			this.reportedAt[rank] = now;
		}
		if (nanos > 0) {
			this.stepNanos[rank] = nanos;
		}
	}

	void reset(int rank) {
		this.lastSteps[rank] = NO_STEP;
		this.stepNanos[rank] = 0;
	}

	boolean allReached(long step) {
		return Arrays.stream(this.lastSteps).allMatch((last) -> last >= step);
	}

	// The ranks run in lockstep, so the median applies to all of them and is robust
	// against outliers of one rank.
	long stepNanos() {
		long[] samples = Arrays.stream(this.stepNanos).filter((nanos) -> nanos > 0).sorted().toArray();
		return (samples.length > 0) ? samples[(samples.length - 1) / 2] : this.assumedStepNanos;
	}

	long estimateLatestStep(long now) {
		long latest = 0;
		long nanos = stepNanos();
		for (int rank = 0; rank < this.lastSteps.length; rank++) {
			if (this.lastSteps[rank] >= 0) {
				long stepsSinceReport = (now - this.reportedAt[rank]) / nanos;
				latest = Math.max(latest, this.lastSteps[rank] + stepsSinceReport);
			}
		}
		return latest;
	}

}

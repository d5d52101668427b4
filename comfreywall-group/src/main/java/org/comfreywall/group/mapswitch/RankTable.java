package org.comfreywall.group.mapswitch;

import java.util.Arrays;

/**
 * Knows how far each rank was when it last reported.
 */
final class RankTable {

	private static final int NONE = -1;

	private final long[] lastSteps;

	private final long[] stepNanos;

	private final long[] reportedAt;

	private final long assumedStepNanos;

	RankTable(int ranks, long assumedStepNanos) {
		this.lastSteps = new long[ranks];
		this.stepNanos = new long[ranks];
		this.reportedAt = new long[ranks];
		this.assumedStepNanos = assumedStepNanos;
		Arrays.fill(this.lastSteps, NONE);
	}

	void reported(int rank, long lastStep, long nanos, long now) {
		if (lastStep >= this.lastSteps[rank]) {
			this.lastSteps[rank] = lastStep;
			this.reportedAt[rank] = now;
		}
		if (nanos > 0) {
			this.stepNanos[rank] = nanos;
		}
	}

	void forget(int rank) {
		this.lastSteps[rank] = NONE;
		this.stepNanos[rank] = 0;
	}

	boolean allReached(long step) {
		return Arrays.stream(this.lastSteps).allMatch((last) -> last >= step);
	}

	// All ranks advance together, so the median is not misled by one rank's odd samples.
	long stepNanos() {
		long[] known = Arrays.stream(this.stepNanos).filter((nanos) -> nanos > 0).sorted().toArray();
		return (known.length > 0) ? known[(known.length - 1) / 2] : this.assumedStepNanos;
	}

	long latestStep(long now) {
		long latest = 0;
		long nanos = stepNanos();
		for (int rank = 0; rank < this.lastSteps.length; rank++) {
			if (this.lastSteps[rank] >= 0) {
				long since = (now - this.reportedAt[rank]) / nanos;
				latest = Math.max(latest, this.lastSteps[rank] + since);
			}
		}
		return latest;
	}

}

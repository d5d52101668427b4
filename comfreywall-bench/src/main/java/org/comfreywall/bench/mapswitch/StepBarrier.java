package org.comfreywall.bench.mapswitch;

import java.util.Arrays;
import java.util.function.LongConsumer;

/**
 * A barrier that completes a step when all ranks have computed it, as the collective
 * operations of the engines do.
 */
final class StepBarrier {

	private final long[] computedSteps;

	private final LongConsumer onCompleted;

	private long completedStep = -1;

	StepBarrier(int ranks, LongConsumer onCompleted) {
		this.computedSteps = new long[ranks];
		this.onCompleted = onCompleted;
		Arrays.fill(this.computedSteps, -1);
	}

	long completedStep() {
		return this.completedStep;
	}

	void recordComputed(int rank, long step) {
		this.computedSteps[rank] = Math.max(this.computedSteps[rank], step);
		long slowest = Arrays.stream(this.computedSteps).min().orElseThrow();
		if (slowest > this.completedStep) {
			this.completedStep = slowest;
			this.onCompleted.accept(slowest);
		}
	}

	void resetRank(int rank) {
		this.computedSteps[rank] = this.completedStep;
	}

}

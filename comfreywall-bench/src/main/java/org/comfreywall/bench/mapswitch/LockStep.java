package org.comfreywall.bench.mapswitch;

import java.util.Arrays;
import java.util.function.LongConsumer;

/**
 * A barrier that completes a step when all ranks have computed it, as the collective
 * operations of the engines do.
 */
final class LockStep {

	private final long[] computedSteps;

	private final LongConsumer onCompleted;

	private long completed = -1;

	LockStep(int ranks, LongConsumer onCompleted) {
		this.computedSteps = new long[ranks];
		this.onCompleted = onCompleted;
		Arrays.fill(this.computedSteps, -1);
	}

	long completed() {
		return this.completed;
	}

	void computed(int rank, long step) {
		this.computedSteps[rank] = Math.max(this.computedSteps[rank], step);
		long slowest = Arrays.stream(this.computedSteps).min().orElseThrow();
		if (slowest > this.completed) {
			this.completed = slowest;
			this.onCompleted.accept(slowest);
		}
	}

	void restart(int rank) {
		this.computedSteps[rank] = this.completed;
	}

}

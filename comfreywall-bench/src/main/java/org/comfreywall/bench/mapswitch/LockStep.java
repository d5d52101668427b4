package org.comfreywall.bench.mapswitch;

import java.util.Arrays;
import java.util.function.LongConsumer;

/**
 * Completes a step when every rank has computed it, as the engines' collective operations
 * do.
 */
final class LockStep {

	private final long[] computed;

	private final LongConsumer onCompleted;

	private long completed = -1;

	LockStep(int ranks, LongConsumer onCompleted) {
		this.computed = new long[ranks];
		this.onCompleted = onCompleted;
		Arrays.fill(this.computed, -1);
	}

	long completed() {
		return this.completed;
	}

	void computed(int rank, long step) {
		this.computed[rank] = Math.max(this.computed[rank], step);
		long slowest = Arrays.stream(this.computed).min().orElseThrow();
		if (slowest > this.completed) {
			this.completed = slowest;
			this.onCompleted.accept(slowest);
		}
	}

	void restart(int rank) {
		this.computed[rank] = this.completed;
	}

}

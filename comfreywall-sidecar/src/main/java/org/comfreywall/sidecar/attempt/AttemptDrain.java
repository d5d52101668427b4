package org.comfreywall.sidecar.attempt;

import java.time.Duration;

/**
 * Determines when the drain of a sidecar is complete.
 */
final class AttemptDrain {

	private final AttemptStore store;

	private final RunningAttempts runs;

	private final Duration orphanTime;

	private boolean started;

	private boolean finished;

	AttemptDrain(AttemptStore store, RunningAttempts runs, Duration orphanTime) {
		this.store = store;
		this.runs = runs;
		this.orphanTime = orphanTime;
	}

	void start() {
		this.started = true;
	}

	boolean isStarted() {
		return this.started;
	}

	boolean tryFinish(long now) {
		if (!this.started || this.finished || this.runs.size() > 0) {
			return false;
		}
		long bound = now - this.orphanTime.toNanos();
		this.finished = this.store.endedAttempts().stream().noneMatch((record) -> awaitsDelivery(record, bound));
		return this.finished;
	}

	private static boolean awaitsDelivery(AttemptRecord record, long bound) {
		return record.state() == AttemptState.FINISHED && !record.isDelivered() && record.endedAt() > bound;
	}

}

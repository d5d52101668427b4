package org.comfreywall.sidecar.attempt;

import java.time.Duration;

/**
 * Determines when the drain of a sidecar is complete.
 */
final class AttemptDrain {

	private final AttemptStore store;

	private final RunningAttempts runningAttempts;

	private final Duration orphanTime;

	private boolean started;

	private boolean finished;

	AttemptDrain(AttemptStore store, RunningAttempts runningAttempts, Duration orphanTime) {
		this.store = store;
		this.runningAttempts = runningAttempts;
		this.orphanTime = orphanTime;
	}

	void start() {
		this.started = true;
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Completes the drain if no attempt runs and each complete answer was delivered or
	 * not fetched within the orphan time.
	 * @param now the time in nanoseconds
	 * @return {@code true} once, when the drain becomes complete
	 */
	boolean tryFinish(long now) {
		if (!this.started || this.finished || this.runningAttempts.size() > 0) {
			return false;
		}
		long resumableSince = now - this.orphanTime.toNanos();
		this.finished = this.store.endedAttempts()
			.stream()
			.noneMatch((record) -> awaitsDelivery(record, resumableSince));
		return this.finished;
	}

	private static boolean awaitsDelivery(AttemptRecord record, long resumableSince) {
		return record.state() == AttemptState.FINISHED && !record.isDelivered() && record.endedAt() > resumableSince;
	}

}

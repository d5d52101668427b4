package org.comfreywall.group.mapswitch;

/**
 * Smooths the time between the steps that a rank was allowed to start.
 */
final class StepTimer {

	/** Weight of the newest sample is one over this. */
	private static final int SMOOTHING = 8;

	private long lastStep = -1;

	private long lastAt;

	private long smoothedNanos;

	void started(long step, boolean held, long now) {
		if (step == this.lastStep + 1 && this.lastStep >= 0 && !held) {
			long sample = Math.max(1, now - this.lastAt);
			this.smoothedNanos = (this.smoothedNanos == 0) ? sample
					: Math.max(1, this.smoothedNanos + (sample - this.smoothedNanos) / SMOOTHING);
		}
		this.lastStep = step;
		this.lastAt = now;
	}

	long stepNanos() {
		return this.smoothedNanos;
	}

}

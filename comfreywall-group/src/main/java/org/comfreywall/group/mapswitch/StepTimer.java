package org.comfreywall.group.mapswitch;

/**
 * Measures the time between the steps that a rank was allowed to start.
 * <p>
 * Samples span several steps, because an engine that asks ahead may be allowed a few
 * steps at once after a pause.
 */
final class StepTimer {

	/** Steps that one sample spans. */
	private static final int WINDOW_STEPS = 16;

	/** Weight of the newest sample is one over this. */
	private static final int SMOOTHING = 4;

	private long windowStep = -1;

	private long windowStart;

	private long lastStep = -1;

	private long smoothedNanos;

	void started(long step, boolean held, long now) {
		boolean continues = this.windowStep >= 0 && step == this.lastStep + 1 && !held;
		this.lastStep = step;
		if (!continues) {
			openWindow(step, now);
		}
		else if (step - this.windowStep == WINDOW_STEPS) {
			addSample(Math.max(1, (now - this.windowStart) / WINDOW_STEPS));
			openWindow(step, now);
		}
	}

	long stepNanos() {
		return this.smoothedNanos;
	}

	private void openWindow(long step, long now) {
		this.windowStep = step;
		this.windowStart = now;
	}

	private void addSample(long sample) {
		this.smoothedNanos = (this.smoothedNanos == 0) ? sample
				: Math.max(1, this.smoothedNanos + (sample - this.smoothedNanos) / SMOOTHING);
	}

}

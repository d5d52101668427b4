package org.comfreywall.group.mapswitch;

/**
 * Measures the time between the step starts of a rank as an exponential moving average.
 * <p>
 * Each sample spans several steps, because an engine that requests steps ahead of time
 * may be granted a few steps at once after a pause. A held step starts a new sample, so
 * the hold is not counted.
 */
final class StepTimer {

	/** Number of steps in one sample. */
	private static final int WINDOW_STEPS = 16;

	/** The weight of a new sample is {@code 1 / SMOOTHING}. */
	private static final int SMOOTHING = 4;

	private long windowStep = -1;

	private long windowStart;

	private long lastStep = -1;

	private long smoothedNanos;

	void recordStart(long step, boolean held, long now) {
		boolean consecutive = this.windowStep >= 0 && step == this.lastStep + 1 && !held;
		this.lastStep = step;
		if (!consecutive) {
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

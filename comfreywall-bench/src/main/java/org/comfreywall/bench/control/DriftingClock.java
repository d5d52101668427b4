package org.comfreywall.bench.control;

/**
 * A monotonic clock that differs from simulated time in origin and rate.
 *
 * @param offsetNanos the reading in nanoseconds at the start of the run
 * @param speed the rate of the clock relative to simulated time
 */
record DriftingClock(long offsetNanos, double speed) {

	long readingAt(long simulatedNanos) {
		return this.offsetNanos + (long) (simulatedNanos * this.speed);
	}

}

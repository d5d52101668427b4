package org.comfreywall.bench.control;

/**
 * A monotonic clock that differs from simulated time in origin and rate.
 *
 * @param offsetNanos the reading in nanoseconds at the start of the run
 * @param speed the rate of the clock relative to simulated time
 */
record RunClock(long offsetNanos, double speed) {

	long at(long simulatedNanos) {
		return this.offsetNanos + (long) (simulatedNanos * this.speed);
	}

}

package org.comfreywall.bench.control;

/**
 * A monotonic clock with its own origin and speed.
 *
 * @param offsetNanos the reading at the start of the run
 * @param speed the clock's speed against true time
 */
record RunClock(long offsetNanos, double speed) {

	long at(long trueNanos) {
		return this.offsetNanos + (long) (trueNanos * this.speed);
	}

}

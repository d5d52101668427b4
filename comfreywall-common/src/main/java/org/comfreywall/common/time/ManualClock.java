package org.comfreywall.common.time;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * A clock that moves only when told to, for tests and measurements.
 */
public final class ManualClock implements Clock {

	private long nanos;

	@Override
	public long nanoTime() {
		return this.nanos;
	}

	/**
	 * Moves the clock forward.
	 * @param duration how far, zero or greater
	 */
	public void advance(Duration duration) {
		Preconditions.check(!duration.isNegative(), "duration must not be negative: %s", duration);
		this.nanos += duration.toNanos();
	}

	/**
	 * Moves the clock forward to a reading.
	 * @param reading the new reading in nanoseconds, not before the present one
	 */
	public void advanceTo(long reading) {
		Preconditions.check(reading >= this.nanos, "reading %d is before the present reading %d", reading, this.nanos);
		this.nanos = reading;
	}

}

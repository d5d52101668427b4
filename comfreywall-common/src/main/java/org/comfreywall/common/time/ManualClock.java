package org.comfreywall.common.time;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * A clock that advances only by explicit calls, for tests and simulations.
 */
public final class ManualClock implements Clock {

	private long nanos;

	@Override
	public long nanoTime() {
		return this.nanos;
	}

	/**
	 * Advances the clock by a duration.
	 * @param duration the duration, zero or greater
	 */
	public void advance(Duration duration) {
		Preconditions.check(!duration.isNegative(), "duration must not be negative: %s", duration);
		this.nanos += duration.toNanos();
	}

	/**
	 * Advances the clock to a reading.
	 * @param reading the new reading in nanoseconds, not before the current one
	 */
	public void advanceTo(long reading) {
		Preconditions.check(reading >= this.nanos, "reading %d is before the current reading %d", reading, this.nanos);
		this.nanos = reading;
	}

}

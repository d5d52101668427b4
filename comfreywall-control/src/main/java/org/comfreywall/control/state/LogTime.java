package org.comfreywall.control.state;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * A reading of the time that leaders propose with the entries of the replicated log.
 * <p>
 * It never decreases along the log, is the same on every instance and stands still while
 * there is no leader. It is unrelated to any instance's clock.
 *
 * @param millis milliseconds of leadership since the log began, zero or greater
 */
public record LogTime(long millis) implements Comparable<LogTime> {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The time at which the log begins. */
	public static final LogTime ZERO = new LogTime(0);

	public LogTime {
		Preconditions.check(millis >= 0, "millis must not be negative: %d", millis);
	}

	/**
	 * Creates a reading.
	 * @param millis milliseconds since the log began
	 * @return the reading
	 */
	public static LogTime of(long millis) {
		return new LogTime(millis);
	}

	/**
	 * Returns the reading in nanoseconds.
	 * @return nanoseconds of leadership since the log began
	 */
	public long nanos() {
		return this.millis * NANOS_PER_MILLI;
	}

	/**
	 * Returns a later reading.
	 * @param duration how much later, zero or greater
	 * @return the later reading
	 */
	public LogTime plus(Duration duration) {
		return new LogTime(this.millis + duration.toMillis());
	}

	/**
	 * Tells whether this reading is earlier than the given one.
	 * @param other the reading to compare with
	 * @return {@code true} if this reading is smaller
	 */
	public boolean isBefore(LogTime other) {
		return this.millis < other.millis;
	}

	@Override
	public int compareTo(LogTime other) {
		return Long.compare(this.millis, other.millis);
	}

	@Override
	public String toString() {
		return this.millis + "ms";
	}

}

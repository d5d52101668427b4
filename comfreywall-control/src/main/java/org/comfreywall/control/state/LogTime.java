package org.comfreywall.control.state;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * A timestamp that the leader assigns to each entry of the replicated log.
 * <p>
 * It never decreases along the log, is the same on every instance and does not advance
 * while there is no leader. It is unrelated to any instance's clock.
 *
 * @param millis milliseconds since the start of the log, not counting periods without a
 * leader; zero or greater
 */
public record LogTime(long millis) implements Comparable<LogTime> {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The time at the start of the log. */
	public static final LogTime ZERO = new LogTime(0);

	public LogTime {
		Preconditions.check(millis >= 0, "millis must not be negative: %d", millis);
	}

	/**
	 * Creates a log time.
	 * @param millis milliseconds since the start of the log, zero or greater
	 * @return the log time
	 */
	public static LogTime of(long millis) {
		return new LogTime(millis);
	}

	/**
	 * Returns the log time in nanoseconds.
	 * @return nanoseconds since the start of the log
	 */
	public long nanos() {
		return this.millis * NANOS_PER_MILLI;
	}

	/**
	 * Returns the log time after a duration.
	 * @param duration the duration to add, zero or greater; truncated to milliseconds
	 * @return the later log time
	 */
	public LogTime plus(Duration duration) {
		return new LogTime(this.millis + duration.toMillis());
	}

	/**
	 * Returns whether this log time is earlier than another one.
	 * @param other the log time to compare with
	 * @return {@code true} if this log time is earlier
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

package org.comfreywall.gateway.pool;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * What an announcement says about the warm-up of its server.
 *
 * @param left the time that the server stays cold, counted from the arrival of the
 * announcement; zero if it is warm
 * @param age the time since the fleet received the announcement
 */
public record ColdReport(Duration left, Duration age) {

	public ColdReport {
		Preconditions.check(!left.isNegative(), "left must not be negative: %s", left);
		Preconditions.check(!age.isNegative(), "age must not be negative: %s", age);
	}

	/**
	 * Creates a report that has just arrived.
	 * @param millis the time that the server stays cold, in milliseconds
	 * @return the report
	 */
	public static ColdReport ofMillis(long millis) {
		return new ColdReport(Duration.ofMillis(millis), Duration.ZERO);
	}

	ColdReport withAge(long nanos) {
		return new ColdReport(this.left, Duration.ofNanos(Math.max(0, nanos)));
	}

}

package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Whether and when a request is retried.
 *
 * @param allowed whether another attempt may be made
 * @param delay the delay before the next attempt
 * @param reason the reason for the decision, as written to decision records
 */
public record RetryDecision(boolean allowed, Duration delay, String reason) {

	public RetryDecision {
		Preconditions.notNull(delay, "delay");
		Preconditions.notNull(reason, "reason");
	}

	/**
	 * Allows another attempt.
	 * @param delay the delay before the next attempt
	 * @return the decision
	 */
	public static RetryDecision after(Duration delay) {
		return new RetryDecision(true, delay, "allowed");
	}

	/**
	 * Allows no further attempt.
	 * @param reason the reason, as written to decision records
	 * @return the decision
	 */
	public static RetryDecision stop(String reason) {
		return new RetryDecision(false, Duration.ZERO, reason);
	}

}

package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Whether and when a request is tried again.
 *
 * @param allowed whether it is tried again
 * @param delay how long to wait before
 * @param reason why it is or is not tried again
 */
public record RetryDecision(boolean allowed, Duration delay, String reason) {

	public RetryDecision {
		Preconditions.notNull(delay, "delay");
		Preconditions.notNull(reason, "reason");
	}

	/**
	 * Allows another attempt.
	 * @param delay how long to wait before
	 * @return the decision
	 */
	public static RetryDecision after(Duration delay) {
		return new RetryDecision(true, delay, "allowed");
	}

	/**
	 * Allows no further attempt.
	 * @param reason why
	 * @return the decision
	 */
	public static RetryDecision stop(String reason) {
		return new RetryDecision(false, Duration.ZERO, reason);
	}

}

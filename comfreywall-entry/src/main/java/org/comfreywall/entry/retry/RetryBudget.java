package org.comfreywall.entry.retry;

/**
 * Token bucket for retries and hedges: each first attempt adds a fraction of a token, and
 * each retry or hedge takes a whole one.
 */
final class RetryBudget {

	// Tolerance for the rounding error of the accumulated fractions.
	private static final double ROUNDING_TOLERANCE = 1e-9;

	private final double tokensPerAttempt;

	private final double capacity;

	private double tokens;

	RetryBudget(double share, int burst) {
		this.tokensPerAttempt = share;
		this.capacity = burst;
	}

	void recordFirstAttempt() {
		this.tokens = Math.min(this.capacity, this.tokens + this.tokensPerAttempt);
	}

	boolean canSpend() {
		return this.tokens >= 1 - ROUNDING_TOLERANCE;
	}

	void spend() {
		this.tokens -= 1;
	}

}

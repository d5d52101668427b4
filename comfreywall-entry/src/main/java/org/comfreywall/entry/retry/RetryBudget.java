package org.comfreywall.entry.retry;

/**
 * Token bucket for retries and hedges: each first attempt adds a fraction of a token, and
 * each retry or hedge takes a whole one.
 */
final class RetryBudget {

	// Tolerance for the rounding error of the accumulated fractions.
	private static final double ROUNDING = 1e-9;

	private final double share;

	private final double burst;

	private double saved;

	RetryBudget(double share, int burst) {
		this.share = share;
		this.burst = burst;
	}

	void firstAttempt() {
		this.saved = Math.min(this.burst, this.saved + this.share);
	}

	boolean canSpend() {
		return this.saved >= 1 - ROUNDING;
	}

	void spend() {
		this.saved -= 1;
	}

}

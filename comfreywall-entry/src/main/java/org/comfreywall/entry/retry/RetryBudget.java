package org.comfreywall.entry.retry;

/**
 * Saves up a share of a retry with each first attempt.
 */
final class RetryBudget {

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

package org.comfreywall.group.mapswitch;

/**
 * Estimates how far ahead of the present step the ranks must be armed so that the
 * decision reaches them before the step does.
 */
final class LeadEstimator {

	/** The lead is this many times the time that arming and deciding took at worst. */
	private static final int SAFETY_FACTOR = 4;

	/** A peak loses one part in this many with each sample below it. */
	private static final int PEAK_DECAY = 8;

	private static final int MAX_PENALTY = 64;

	private final CoordinatorSettings settings;

	private long peakNanos;

	private int penalty = 1;

	LeadEstimator(CoordinatorSettings settings) {
		this.settings = settings;
	}

	void decided(long armToDecisionNanos) {
		this.peakNanos = Math.max(armToDecisionNanos, this.peakNanos - this.peakNanos / PEAK_DECAY);
	}

	void succeeded() {
		this.penalty = Math.max(1, this.penalty / 2);
	}

	void tooShort() {
		this.penalty = Math.min(MAX_PENALTY, this.penalty * 2);
	}

	long leadNanos() {
		long lead = Math.max(this.settings.minLeadNanos(), SAFETY_FACTOR * this.peakNanos) * this.penalty;
		return Math.min(this.settings.maxLeadNanos(), lead);
	}

}

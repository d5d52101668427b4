package org.comfreywall.group.mapswitch;

/**
 * Estimates the lead time: how long before the first step under the new map the ranks
 * must be armed so that the decision arrives before they reach it.
 * <p>
 * The estimate is a decaying peak of the time between arming and decision, times a safety
 * factor and a penalty. The penalty doubles with each lead that was too short and halves
 * with each committed switch.
 */
final class LeadEstimator {

	/** The lead is this multiple of the decaying peak time from arming to decision. */
	private static final int SAFETY_FACTOR = 4;

	/**
	 * Each sample reduces the peak by {@code 1 / PEAK_DECAY} of it, but not below the
	 * sample.
	 */
	private static final int PEAK_DECAY = 8;

	private static final int MAX_PENALTY = 64;

	private final CoordinatorSettings settings;

	private long peakNanos;

	private int penalty = 1;

	LeadEstimator(CoordinatorSettings settings) {
		this.settings = settings;
	}

	void addSample(long armToDecisionNanos) {
		this.peakNanos = Math.max(armToDecisionNanos, this.peakNanos - this.peakNanos / PEAK_DECAY);
	}

	void decreasePenalty() {
		this.penalty = Math.max(1, this.penalty / 2);
	}

	void increasePenalty() {
		this.penalty = Math.min(MAX_PENALTY, this.penalty * 2);
	}

	long leadNanos() {
		long lead = Math.max(this.settings.minLeadNanos(), SAFETY_FACTOR * this.peakNanos) * this.penalty;
		return Math.min(this.settings.maxLeadNanos(), lead);
	}

}

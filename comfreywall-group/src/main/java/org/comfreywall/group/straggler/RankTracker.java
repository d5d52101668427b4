package org.comfreywall.group.straggler;

/**
 * The detector's state for one rank.
 */
final class RankTracker {

	private static final double RATIO_WEIGHT = 0.3;

	private static final int PENALTY_DECAY_PERIODS = 8;

	private RankCondition condition = RankCondition.HEALTHY;

	private int slowWindows;

	private int healthyWindows;

	private int windowsInCondition;

	private int penalty = 1;

	private boolean recentlyRecovered;

	private double ratio = 1;

	private double plannedSpeed = 1;

	RankCondition condition() {
		return this.condition;
	}

	int slowWindows() {
		return this.slowWindows;
	}

	int windowsInCondition() {
		return this.windowsInCondition;
	}

	double ratio() {
		return this.ratio;
	}

	double estimatedSpeed() {
		return Math.min(1, 1 / this.ratio);
	}

	double plannedSpeed() {
		return this.plannedSpeed;
	}

	void setPlannedSpeed(double speed) {
		this.plannedSpeed = speed;
	}

	void observe(double newRatio, boolean slow, boolean healthy) {
		boolean firstSlow = slow && this.slowWindows == 0 && this.condition == RankCondition.HEALTHY;
		this.ratio = firstSlow ? newRatio : this.ratio + RATIO_WEIGHT * (newRatio - this.ratio);
		this.slowWindows = slow ? this.slowWindows + 1 : 0;
		this.healthyWindows = healthy ? this.healthyWindows + 1 : 0;
		this.windowsInCondition++;
	}

	void changeCondition(RankCondition newCondition, int maximumPenalty) {
		if (this.condition == RankCondition.HEALTHY && this.recentlyRecovered) {
			this.penalty = Math.min(maximumPenalty, this.penalty * 2);
		}
		this.condition = newCondition;
		this.windowsInCondition = 0;
		this.healthyWindows = 0;
		this.slowWindows = 0;
	}

	boolean hasRecovered(int windowsToLeave) {
		return this.condition != RankCondition.HEALTHY && this.healthyWindows >= windowsToLeave * this.penalty;
	}

	void markHealthy() {
		this.condition = RankCondition.HEALTHY;
		this.recentlyRecovered = true;
		this.healthyWindows = 0;
		this.windowsInCondition = 0;
		this.plannedSpeed = 1;
	}

	// Halves the penalty after each sufficiently long healthy period, down to 1.
	void decayPenalty(int windowsToLeave) {
		if (this.condition == RankCondition.HEALTHY
				&& this.healthyWindows >= PENALTY_DECAY_PERIODS * windowsToLeave * this.penalty) {
			this.penalty = Math.max(1, this.penalty / 2);
			this.recentlyRecovered = this.penalty > 1;
			this.healthyWindows = 0;
		}
	}

}

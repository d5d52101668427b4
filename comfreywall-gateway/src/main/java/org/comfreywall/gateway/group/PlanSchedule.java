package org.comfreywall.gateway.group;

import java.util.Arrays;

/**
 * Decides when it is worth computing a new plan for the same map.
 * <p>
 * A plan for a large group takes tens of milliseconds of CPU time on the leader. While
 * the load is stable for seconds, each round of choices improves the forecast only a
 * little. So the next plan is due after as many new rounds as the last one rested on
 * (exponential backoff, up to the rounds that a forecast keeps), after a shift of the
 * load, or when the slowdown of a rank changes.
 */
final class PlanSchedule {

	/** Relative measurement error of a rank's slowdown; smaller changes are ignored. */
	private static final double PACE_CHANGE = 0.1;

	private static final double[] NO_PACE = {};

	private long completedRounds;

	private long shifts = -1;

	private int rounds;

	private double[] slowdowns = NO_PACE;

	/**
	 * Returns whether a round has ended since the last plan; otherwise no plan is due. A
	 * cheap check, as it is called far more often than rounds end.
	 * @param traffic the record of choices
	 * @return {@code true} if there is a new round
	 */
	boolean hasNewRounds(ExpertTraffic traffic) {
		return traffic.completedRounds() > this.completedRounds;
	}

	/**
	 * Returns whether a new plan is due.
	 * @param traffic the record of choices
	 * @param present the slowdown factors of the ranks
	 * @return {@code true} if the last plan may be out of date
	 */
	boolean isDue(ExpertTraffic traffic, double[] present) {
		boolean enoughRounds = traffic.completedRounds() - this.completedRounds >= this.rounds;
		return hasNewRounds(traffic) && (enoughRounds || traffic.shiftCount() != this.shifts || hasChanged(present));
	}

	private boolean hasChanged(double[] present) {
		if (present.length != this.slowdowns.length) {
			return true;
		}
		for (int rank = 0; rank < present.length; rank++) {
			if (Math.abs(present[rank] - this.slowdowns[rank]) > PACE_CHANGE * this.slowdowns[rank]) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Records that a plan was computed.
	 * @param traffic the record of choices that it was computed from
	 * @param present the slowdown factors that it was computed from
	 */
	void recordPlan(ExpertTraffic traffic, double[] present) {
		this.completedRounds = traffic.completedRounds();
		this.shifts = traffic.shiftCount();
		this.rounds = traffic.retainedRounds();
		this.slowdowns = Arrays.copyOf(present, present.length);
	}

	/**
	 * Resets the schedule after the map changed or the group was formed again, so that a
	 * plan is due with the next round.
	 */
	void reset() {
		this.shifts = -1;
		this.completedRounds = 0;
		this.rounds = 0;
	}

}

package org.comfreywall.gateway.group;

import java.util.Arrays;

/**
 * Decides when it is worth computing a new plan while the same map is in force.
 * <p>
 * A plan for a large group takes tens of milliseconds of CPU time on the leader. While
 * the load is stable for seconds, each further round of reports (see
 * {@link ExpertTraffic}) improves the forecast only a little. So the next plan is due
 * after as many new rounds as the last plan was based on. The interval doubles each time
 * (exponential backoff) until it reaches the number of rounds that {@link ExpertTraffic}
 * retains. After a shift of the load or a change of a rank's slowdown, a plan is due with
 * the next round.
 */
final class PlanSchedule {

	/** Relative measurement error of a rank's slowdown; smaller changes are ignored. */
	private static final double SLOWDOWN_TOLERANCE = 0.1;

	private static final double[] NO_SLOWDOWNS = {};

	private long completedRoundsAtPlan;

	// -1 before the first plan and after a reset.
	private long shiftCountAtPlan = -1;

	private int roundsUsedByPlan;

	private double[] slowdownsAtPlan = NO_SLOWDOWNS;

	/**
	 * Returns whether a round has been completed since the last plan; otherwise no plan
	 * is due. A cheap check, as it is called far more often than rounds are completed.
	 * @param traffic the recent expert choices of the group
	 * @return {@code true} if there is a new round
	 */
	boolean hasNewRounds(ExpertTraffic traffic) {
		return traffic.completedRounds() > this.completedRoundsAtPlan;
	}

	/**
	 * Returns whether a new plan is due.
	 * @param traffic the recent expert choices of the group
	 * @param currentSlowdowns the slowdown factor of each rank
	 * @return {@code true} if the last plan may be out of date
	 */
	boolean isDue(ExpertTraffic traffic, double[] currentSlowdowns) {
		boolean enoughRounds = traffic.completedRounds() - this.completedRoundsAtPlan >= this.roundsUsedByPlan;
		return hasNewRounds(traffic) && (enoughRounds || traffic.shiftCount() != this.shiftCountAtPlan
				|| haveSlowdownsChanged(currentSlowdowns));
	}

	private boolean haveSlowdownsChanged(double[] currentSlowdowns) {
		if (currentSlowdowns.length != this.slowdownsAtPlan.length) {
			return true;
		}
		for (int rank = 0; rank < currentSlowdowns.length; rank++) {
			if (Math.abs(currentSlowdowns[rank] - this.slowdownsAtPlan[rank]) > SLOWDOWN_TOLERANCE
					* this.slowdownsAtPlan[rank]) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Records that a plan was computed.
	 * @param traffic the expert choices that it was computed from
	 * @param currentSlowdowns the slowdown factors that it was computed from
	 */
	void recordPlan(ExpertTraffic traffic, double[] currentSlowdowns) {
		this.completedRoundsAtPlan = traffic.completedRounds();
		this.shiftCountAtPlan = traffic.shiftCount();
		this.roundsUsedByPlan = traffic.retainedRounds();
		this.slowdownsAtPlan = Arrays.copyOf(currentSlowdowns, currentSlowdowns.length);
	}

	/**
	 * Discards the last plan, when a switch starts or the group was formed again, so that
	 * a plan is due as soon as {@link ExpertTraffic} has completed any round.
	 */
	void reset() {
		this.shiftCountAtPlan = -1;
		this.completedRoundsAtPlan = 0;
		this.roundsUsedByPlan = 0;
	}

}

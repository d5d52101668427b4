package org.comfreywall.group.placement;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The planner's answer.
 *
 * @param reason why the plan was accepted or refused
 * @param placement the placement to go to; the present one if the plan was refused
 * @param moves the reads that lead there, the greatest worth a byte first; empty if the
 * plan was refused
 * @param price the price of the plan, or of the best one that was refused
 */
public record PlacementPlan(PlanReason reason, Placement placement, List<ExpertMove> moves, PlanPrice price) {

	public PlacementPlan {
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(placement, "placement");
		Preconditions.notNull(price, "price");
		moves = List.copyOf(moves);
	}

	/**
	 * Tells whether the plan is to be carried out.
	 * @return {@code true} if it was accepted
	 */
	public boolean isAccepted() {
		return this.reason.isAccepted();
	}

}

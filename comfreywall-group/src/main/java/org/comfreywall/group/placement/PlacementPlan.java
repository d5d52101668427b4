package org.comfreywall.group.placement;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The result of planning a placement.
 *
 * @param reason why the plan was accepted or refused
 * @param placement the planned placement; the current one if the plan was refused
 * @param moves the reads required for the placement, in descending order of gain per
 * byte; empty if the plan was refused
 * @param price the price of the plan, or of the fastest alternative if it was refused
 */
public record PlacementPlan(PlanReason reason, Placement placement, List<ExpertMove> moves, PlanPrice price) {

	public PlacementPlan {
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(placement, "placement");
		Preconditions.notNull(price, "price");
		moves = List.copyOf(moves);
	}

	/**
	 * Returns whether the plan should be executed.
	 * @return {@code true} if it was accepted
	 */
	public boolean isAccepted() {
		return this.reason.isAccepted();
	}

}

package org.comfreywall.group.moves;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies one move of a plan.
 *
 * @param plan the plan
 * @param index the move's index in the plan
 */
public record MoveId(PlanId plan, int index) {

	public MoveId {
		Preconditions.notNull(plan, "plan");
		Preconditions.check(index >= 0, "index must not be negative: %d", index);
	}

	@Override
	public String toString() {
		return this.plan + "#" + this.index;
	}

}

package org.comfreywall.group.moves;

import java.util.List;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.placement.ExpertMove;

/**
 * The moves of an accepted plan, as they are made durable.
 *
 * @param id the plan
 * @param moves the moves; a move's index in this list names it
 */
public record MovePlan(PlanId id, List<ExpertMove> moves) {

	public MovePlan {
		Preconditions.notNull(id, "id");
		moves = List.copyOf(moves);
	}

}

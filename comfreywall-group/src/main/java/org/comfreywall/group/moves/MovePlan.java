package org.comfreywall.group.moves;

import java.util.List;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.placement.ExpertMove;

/**
 * The moves of an accepted plan, as written to durable storage.
 *
 * @param id the identifier of the plan
 * @param moves the moves, identified by their index in this list
 */
public record MovePlan(PlanId id, List<ExpertMove> moves) {

	public MovePlan {
		Preconditions.notNull(id, "id");
		moves = List.copyOf(moves);
	}

}

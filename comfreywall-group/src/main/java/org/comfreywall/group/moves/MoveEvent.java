package org.comfreywall.group.moves;

import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * An event that the move scheduler handles.
 */
public sealed interface MoveEvent {

	/**
	 * A plan was accepted; it replaces the group's unfinished plan.
	 *
	 * @param plan the plan
	 */
	record PlanAccepted(MovePlan plan) implements MoveEvent {

		public PlanAccepted {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * A plan is durable and its reads may start.
	 *
	 * @param plan the plan
	 */
	record PlanSaved(PlanId plan) implements MoveEvent {

		public PlanSaved {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * A coordinator came back and found an unfinished plan in durable state.
	 *
	 * @param plan the plan
	 * @param staged the indexes of moves whose weights the ranks hold already
	 */
	record PlanRecovered(MovePlan plan, Set<Integer> staged) implements MoveEvent {

		public PlanRecovered {
			Preconditions.notNull(plan, "plan");
			staged = Set.copyOf(staged);
		}

	}

	/**
	 * A rank holds the weights of a move.
	 *
	 * @param move the move
	 */
	record MoveStaged(MoveId move) implements MoveEvent {

		public MoveStaged {
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * A read failed and is to be tried again.
	 *
	 * @param move the move
	 */
	record MoveFailed(MoveId move) implements MoveEvent {

		public MoveFailed {
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * A plan is no longer wanted.
	 *
	 * @param plan the plan
	 * @param reason why, for the decision record
	 */
	record PlanCancelled(PlanId plan, String reason) implements MoveEvent {

		public PlanCancelled {
			Preconditions.notNull(plan, "plan");
			Preconditions.notBlank(reason, "reason");
		}

	}

	/**
	 * Time went by.
	 */
	record Tick() implements MoveEvent {

	}

}

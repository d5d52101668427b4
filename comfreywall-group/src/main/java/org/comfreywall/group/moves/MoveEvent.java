package org.comfreywall.group.moves;

import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * An event that the move scheduler handles.
 */
public sealed interface MoveEvent {

	/**
	 * A plan was accepted. It replaces the group's unfinished plan, if any.
	 *
	 * @param plan the plan
	 */
	record PlanAccepted(MovePlan plan) implements MoveEvent {

		public PlanAccepted {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * A plan was written to durable storage; its reads may start.
	 *
	 * @param plan the identifier of the plan
	 */
	record PlanSaved(PlanId plan) implements MoveEvent {

		public PlanSaved {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * A restarted coordinator found an unfinished plan in durable storage.
	 *
	 * @param plan the plan
	 * @param staged the indexes of the moves whose weights are already staged
	 */
	record PlanRecovered(MovePlan plan, Set<Integer> staged) implements MoveEvent {

		public PlanRecovered {
			Preconditions.notNull(plan, "plan");
			staged = Set.copyOf(staged);
		}

	}

	/**
	 * A rank has staged the weights of a move.
	 *
	 * @param move the identifier of the move
	 */
	record MoveStaged(MoveId move) implements MoveEvent {

		public MoveStaged {
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * A read failed. It is retried, up to the maximum number of attempts.
	 *
	 * @param move the identifier of the move
	 */
	record MoveFailed(MoveId move) implements MoveEvent {

		public MoveFailed {
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * A plan was cancelled from outside the scheduler.
	 *
	 * @param plan the identifier of the plan
	 * @param reason the reason, for the decision record
	 */
	record PlanCancelled(PlanId plan, String reason) implements MoveEvent {

		public PlanCancelled {
			Preconditions.notNull(plan, "plan");
			Preconditions.notBlank(reason, "reason");
		}

	}

	/**
	 * A scheduled delay expired. Overdue reads are restarted, and new reads are started
	 * if the weight store's rate allows.
	 */
	record Tick() implements MoveEvent {

	}

}

package org.comfreywall.group.moves;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.placement.ExpertMove;

/**
 * What the move scheduler orders.
 */
public sealed interface MoveCommand {

	/**
	 * Make a plan durable, then report {@link MoveEvent.PlanSaved}.
	 *
	 * @param plan the plan
	 */
	record SavePlan(MovePlan plan) implements MoveCommand {

		public SavePlan {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * Let a rank read weights from the store.
	 *
	 * @param id the move
	 * @param move what to read and where to put it
	 */
	record StartRead(MoveId id, ExpertMove move) implements MoveCommand {

		public StartRead {
			Preconditions.notNull(id, "id");
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * Stop a read that was started.
	 *
	 * @param id the move
	 */
	record CancelRead(MoveId id) implements MoveCommand {

		public CancelRead {
			Preconditions.notNull(id, "id");
		}

	}

	/**
	 * Remove a cancelled plan from durable state.
	 *
	 * @param plan the plan
	 */
	record DropPlan(PlanId plan) implements MoveCommand {

		public DropPlan {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * All weights of a plan are staged; the expert map may be switched.
	 *
	 * @param plan the plan
	 */
	record PlanStaged(PlanId plan) implements MoveCommand {

		public PlanStaged {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * Report a {@link MoveEvent.Tick} after a time.
	 *
	 * @param nanos the time in nanoseconds
	 */
	record WakeAfter(long nanos) implements MoveCommand {

		public WakeAfter {
			Preconditions.check(nanos >= 0, "nanos must not be negative: %d", nanos);
		}

	}

}

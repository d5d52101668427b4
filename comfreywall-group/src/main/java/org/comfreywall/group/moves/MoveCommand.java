package org.comfreywall.group.moves;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.placement.ExpertMove;

/**
 * A command that the move scheduler issues.
 */
public sealed interface MoveCommand {

	/**
	 * Writes a plan to durable storage; {@link MoveEvent.PlanSaved} confirms it.
	 *
	 * @param plan the plan
	 */
	record SavePlan(MovePlan plan) implements MoveCommand {

		public SavePlan {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * Starts a rank's read from the weight store.
	 *
	 * @param id the identifier of the move
	 * @param move the expert to read and the slot that receives it
	 */
	record StartRead(MoveId id, ExpertMove move) implements MoveCommand {

		public StartRead {
			Preconditions.notNull(id, "id");
			Preconditions.notNull(move, "move");
		}

	}

	/**
	 * Cancels a read in progress.
	 *
	 * @param id the identifier of the move
	 */
	record CancelRead(MoveId id) implements MoveCommand {

		public CancelRead {
			Preconditions.notNull(id, "id");
		}

	}

	/**
	 * Removes a cancelled plan from durable storage.
	 *
	 * @param plan the identifier of the plan
	 */
	record DropPlan(PlanId plan) implements MoveCommand {

		public DropPlan {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * Reports that all weights of a plan are staged, so the expert map can be switched.
	 *
	 * @param plan the identifier of the plan
	 */
	record PlanStaged(PlanId plan) implements MoveCommand {

		public PlanStaged {
			Preconditions.notNull(plan, "plan");
		}

	}

	/**
	 * Schedules a {@link MoveEvent.Tick}.
	 *
	 * @param nanos the delay in nanoseconds
	 */
	record ScheduleTick(long nanos) implements MoveCommand {

		public ScheduleTick {
			Preconditions.check(nanos >= 0, "nanos must not be negative: %d", nanos);
		}

	}

}

package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * A command that the straggler detector issues for a rank.
 */
public sealed interface StragglerCommand {

	/**
	 * Returns the rank.
	 * @return the rank
	 */
	int rank();

	/**
	 * Requests a new placement, because the rank is slowed by hot experts.
	 *
	 * @param rank the rank
	 */
	record PlanPlacement(int rank) implements StragglerCommand {

	}

	/**
	 * Requests a placement that assumes a lower speed of the rank, so that it sheds
	 * experts.
	 *
	 * @param rank the rank
	 * @param speed the speed relative to the median rank, between 0 and 1
	 */
	record ShedExperts(int rank, double speed) implements StragglerCommand {

		public ShedExperts {
			Preconditions.check(speed > 0 && speed < 1, "speed must be between 0 and 1: %s", speed);
		}

	}

	/**
	 * Requests that the rank is replaced by a spare.
	 *
	 * @param rank the rank
	 */
	record ReplaceRank(int rank) implements StragglerCommand {

	}

	/**
	 * Requests a placement that assumes full speed again, because the rank recovered.
	 *
	 * @param rank the rank
	 */
	record RestoreRank(int rank) implements StragglerCommand {

	}

}

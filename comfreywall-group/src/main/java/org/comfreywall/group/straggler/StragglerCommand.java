package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * How a late rank is to be relieved.
 */
public sealed interface StragglerCommand {

	/**
	 * Returns the rank.
	 * @return the rank
	 */
	int rank();

	/**
	 * Plan the placement anew: the rank holds hot experts.
	 *
	 * @param rank the rank
	 */
	record PlanPlacement(int rank) implements StragglerCommand {

	}

	/**
	 * Plan with a lower speed of the rank, so that it sheds experts.
	 *
	 * @param rank the rank
	 * @param speed its speed against the median rank, below 1
	 */
	record ShedExperts(int rank, double speed) implements StragglerCommand {

		public ShedExperts {
			Preconditions.check(speed > 0 && speed < 1, "speed must be between 0 and 1: %s", speed);
		}

	}

	/**
	 * Replace the rank by a spare.
	 *
	 * @param rank the rank
	 */
	record ReplaceRank(int rank) implements StragglerCommand {

	}

	/**
	 * Plan with full speed again: the rank recovered.
	 *
	 * @param rank the rank
	 */
	record RestoreRank(int rank) implements StragglerCommand {

	}

}

package org.comfreywall.group.life;

/**
 * What is known of the member that runs a rank.
 */
public enum RankHealth {

	/** It reports and goes on. */
	HEALTHY,
	/**
	 * Its messages are late or lost, but it runs: the group goes on or a probe was
	 * answered.
	 */
	LATE,
	/** It is silent and the group does not go on; a probe is under way. */
	SUSPECTED,
	/** It reports, but does not finish the step for which the others wait. */
	STALLED,
	/** It exited, or neither its messages nor a probe arrive. */
	FAILED

}

package org.comfreywall.group.mapswitch;

/**
 * Reasons why a rank refuses an arm order.
 */
public enum ArmRefusal {

	/** The rank was already allowed to start the step. */
	STEP_STARTED,
	/** The rank has not loaded the map. */
	NOT_STAGED,
	/** The rank has not yet run a step under the latest committed map. */
	BEFORE_LAST_BOUNDARY,
	/** The rank is armed for another attempt that is still undecided. */
	OTHER_UNDECIDED

}

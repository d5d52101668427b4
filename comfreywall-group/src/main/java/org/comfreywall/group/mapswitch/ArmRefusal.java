package org.comfreywall.group.mapswitch;

/**
 * Reasons for which a rank refuses to be armed.
 */
public enum ArmRefusal {

	/** The rank was already allowed to start the step. */
	STEP_STARTED,
	/** The rank has not loaded the map. */
	NOT_STAGED,
	/** The rank has not yet run a step under the latest map decided. */
	BEFORE_LAST_BOUNDARY,
	/** The rank waits for the decision of another attempt. */
	OTHER_UNDECIDED

}

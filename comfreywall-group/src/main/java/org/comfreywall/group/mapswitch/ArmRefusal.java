package org.comfreywall.group.mapswitch;

/**
 * Reasons why a rank refuses an arm order.
 */
public enum ArmRefusal {

	/** The rank was already allowed to start the first step under the new map. */
	STEP_STARTED,
	/**
	 * The engine of the rank does not hold the new map, neither as the active map nor
	 * loaded for a later step (staged).
	 */
	NOT_STAGED,
	/** The rank has not yet started a step under the latest committed map. */
	BEFORE_LAST_BOUNDARY,
	/** The rank is armed for another attempt that is still undecided. */
	OTHER_UNDECIDED

}

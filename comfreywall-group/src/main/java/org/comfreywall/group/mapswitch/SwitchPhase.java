package org.comfreywall.group.mapswitch;

/**
 * Phases of a requested switch at its coordinator.
 */
public enum SwitchPhase {

	/** No switch is under way. */
	IDLE,
	/** The ranks load the new map's weights. */
	STAGING,
	/** The ranks are told to hold at the first step under the new map. */
	ARMING,
	/** The decision is being written. */
	DECIDING,
	/** The decision is durable and being told to the ranks. */
	RELEASING

}

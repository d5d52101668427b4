package org.comfreywall.group.mapswitch;

/**
 * Phases of a requested switch in its coordinator.
 */
public enum SwitchPhase {

	/** No switch is in progress. */
	IDLE,
	/** The ranks load the new map's weights. */
	STAGING,
	/** The ranks are ordered to hold before the first step under the new map. */
	ARMING,
	/** The commit or abort is being written to the ledger. */
	DECIDING,
	/** The decision is durable and is being sent to the ranks. */
	RELEASING

}

package org.comfreywall.common.poison;

/**
 * The result of asking for the fleet's only slot for isolated runs.
 */
public enum IsolationResult {

	/** The slot belongs to the asking request until it is given back or expires. */
	GRANTED,
	/**
	 * Another request holds the slot, or other runs of the suspect may not have ended.
	 */
	WAIT,
	/** The fingerprint is not suspected and may run as usual. */
	NOT_SUSPECTED,
	/** The fingerprint is refused. */
	QUARANTINED

}

package org.comfreywall.common.poison;

/**
 * The result of a request for the fleet's single slot for isolated runs.
 */
public enum IsolationResult {

	/** The request holds the slot until it releases it or the slot expires. */
	GRANTED,
	/**
	 * Another request holds the slot, or other runs with the suspected fingerprint may be
	 * in progress.
	 */
	WAIT,
	/** The fingerprint is not suspected; the request needs no isolation. */
	NOT_SUSPECTED,
	/** Requests with the fingerprint are rejected. */
	QUARANTINED

}

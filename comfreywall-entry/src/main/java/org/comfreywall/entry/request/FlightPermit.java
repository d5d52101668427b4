package org.comfreywall.entry.request;

/**
 * Responses of the guard of a fingerprint to a request for a permit.
 */
public enum FlightPermit {

	/** The request may run. */
	GO,
	/** The first run of the fingerprint is still in progress; poll again. */
	WAIT,
	/**
	 * The fingerprint may have crashed a backend server; the ledger of poison requests
	 * decides whether the request may run.
	 */
	SUSPECT

}

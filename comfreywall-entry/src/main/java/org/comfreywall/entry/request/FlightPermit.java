package org.comfreywall.entry.request;

/**
 * Answers of the guard of a fingerprint.
 */
public enum FlightPermit {

	/** The request may run. */
	GO,
	/** Another request with the fingerprint runs for the first time; ask again soon. */
	WAIT,
	/**
	 * A backend server was lost to the fingerprint; the ledger of poison requests
	 * decides.
	 */
	SUSPECT

}

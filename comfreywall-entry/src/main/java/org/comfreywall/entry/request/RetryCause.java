package org.comfreywall.entry.request;

/**
 * Failures that another attempt may follow.
 */
public enum RetryCause {

	/** The attempt provably did not run. */
	REFUSED,
	/** No backend server could take the request. */
	NO_ROUTE,
	/** The backend server crashed. */
	CRASHED,
	/** The sidecar restarted or could not be reached. */
	SIDECAR_LOST,
	/**
	 * The attempt ended, was refused or was not sealed without proof that it did not run,
	 * and no part of an answer was passed to the caller.
	 */
	BROKEN

}

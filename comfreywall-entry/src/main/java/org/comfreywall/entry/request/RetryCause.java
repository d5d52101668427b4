package org.comfreywall.entry.request;

/**
 * Reasons for which another attempt may be made.
 */
public enum RetryCause {

	/** The attempt was proven not to have run. */
	REFUSED,
	/** No backend server could take the request. */
	NO_ROUTE,
	/** The backend server crashed. */
	CRASHED,
	/** The sidecar was lost. */
	SIDECAR_LOST,
	/** The answer broke off before anything was passed to the caller. */
	BROKEN

}

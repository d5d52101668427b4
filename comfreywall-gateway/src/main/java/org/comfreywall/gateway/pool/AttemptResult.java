package org.comfreywall.gateway.pool;

/**
 * Outcome of an attempt, as evidence about the health of the backend server.
 */
public enum AttemptResult {

	/** The server responded without a server error. */
	ANSWERED,
	/** The server responded with a server error. */
	FAILED,
	/** The connection failed, could not be opened or returned a malformed response. */
	BROKEN,
	/** The server responded that it did not run the request. */
	REJECTED,
	/** The caller or this entry cancelled the attempt. */
	CANCELLED

}

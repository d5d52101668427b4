package org.comfreywall.entry.request;

/**
 * Phases of a request.
 */
enum RequestPhase {

	/** Waiting for a backend server to be selected. */
	ROUTING,
	/** Waiting for the claim on the idempotency key. */
	CLAIMING,
	/** Waiting for a permit from the guard of the fingerprint. */
	AWAITING_PERMIT,
	/** Attempt passed to a connection; the sidecar has not responded yet. */
	SENT,
	/** The followed attempt was accepted by a sidecar. */
	RUNNING,
	/**
	 * Waiting for a sidecar to attach this entry to the attempt of an earlier request
	 * with the same key, or to seal that attempt.
	 */
	JOINING,
	/** Waiting for the sidecar to seal the attempt or to report that it started. */
	SEALING,
	/** Waiting for the crash report to be committed. */
	RECORDING_CRASH,
	/** Waiting for the slot for isolated runs. */
	ISOLATING,
	/** Waiting for the result of the release of the claim. */
	RELEASING,
	/** Waiting for the back-off delay before a retry. */
	BACKING_OFF,
	/** Ended; the tracker removes the request. */
	DONE;

	boolean followsAttempt() {
		return this == SENT || this == RUNNING || this == JOINING || this == SEALING;
	}

}

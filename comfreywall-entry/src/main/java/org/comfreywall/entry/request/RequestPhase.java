package org.comfreywall.entry.request;

/**
 * Phases in the life of a request.
 */
enum RequestPhase {

	/** Waits for a backend server to be chosen. */
	ROUTING,
	/** Waits for the ledger of claims. */
	CLAIMING,
	/** Waits for the guard of its fingerprint. */
	PERMITTING,
	/** Was handed to a connection; the sidecar has not answered yet. */
	SENT,
	/** Its attempt, or that of an earlier sending, was accepted by a sidecar. */
	RUNNING,
	/** Asked a sidecar to follow or seal the attempt of an earlier sending. */
	JOINING,
	/** Waits for the sidecar to seal the attempt or to tell that it started. */
	SEALING,
	/** Waits until the loss of its backend server is recorded. */
	CHARGING,
	/** Waits for the slot for isolated runs. */
	ISOLATING,
	/** Waits before it is tried again. */
	BACKING_OFF,
	/** Has ended. */
	DONE;

	boolean followsAttempt() {
		return this == SENT || this == RUNNING || this == JOINING || this == SEALING;
	}

}

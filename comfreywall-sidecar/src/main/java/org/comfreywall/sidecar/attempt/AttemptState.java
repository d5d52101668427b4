package org.comfreywall.sidecar.attempt;

/**
 * States of an attempt at its sidecar.
 */
enum AttemptState {

	/** Waits until no other attempt runs. */
	QUEUED,
	/** Was sent to the backend server. */
	RUNNING,
	/** Ended with a complete answer. */
	FINISHED,
	/** Started and ended without a complete answer. */
	FAILED,
	/** Has not started and will never start. */
	SEALED;

	boolean isEnded() {
		return this == FINISHED || this == FAILED || this == SEALED;
	}

}

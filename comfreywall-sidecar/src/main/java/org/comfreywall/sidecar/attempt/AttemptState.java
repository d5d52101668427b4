package org.comfreywall.sidecar.attempt;

/**
 * States of an attempt at its sidecar.
 */
enum AttemptState {

	/** Waits until it is alone. */
	QUEUED,
	/** Was handed to the backend server. */
	RUNNING,
	/** Ended with a whole answer. */
	FINISHED,
	/** Started and ended without a whole answer. */
	FAILED,
	/** Never started and never will. */
	SEALED;

	boolean isEnded() {
		return this == FINISHED || this == FAILED || this == SEALED;
	}

}

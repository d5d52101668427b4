package org.comfreywall.common.attempt;

/**
 * Reasons for which a sidecar refuses an attempt.
 */
public enum AttemptRefusal {

	/** The attempt was sealed. */
	SEALED,
	/** The backend server is leaving. */
	DRAINING,
	/** The backend server runs a suspect alone, or has no capacity left. */
	BUSY,
	/** The backend server could not be reached; nothing was sent to it. */
	BACKEND_UNREACHABLE,
	/** The window is too old to tell whether an earlier copy ran. */
	STALE_WINDOW,
	/** The attempt is addressed to another life of the sidecar, which may have run it. */
	OTHER_INCARNATION,
	/** Another attempt of the request is running here. */
	ALREADY_RUNNING;

	/**
	 * Tells whether the refusal proves that the attempt never ran and never will.
	 * @return {@code true} if the refusal is a proof
	 */
	public boolean provesNotRun() {
		return this != STALE_WINDOW && this != OTHER_INCARNATION && this != ALREADY_RUNNING;
	}

}

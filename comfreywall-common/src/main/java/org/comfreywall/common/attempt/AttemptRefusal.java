package org.comfreywall.common.attempt;

/**
 * Reasons why a sidecar rejects an attempt.
 */
public enum AttemptRefusal {

	/** The attempt was sealed. */
	SEALED,
	/** The backend server is being drained. */
	DRAINING,
	/** The backend server runs an isolated request, or has no free capacity. */
	BUSY,
	/** The backend server could not be reached; nothing was sent to it. */
	BACKEND_UNREACHABLE,
	/**
	 * The attempt's window is so old that the sidecar may have discarded the record of an
	 * earlier copy that ran.
	 */
	STALE_WINDOW,
	/**
	 * The attempt is addressed to another incarnation of the sidecar, which may have run
	 * it.
	 */
	OTHER_INCARNATION,
	/** Another attempt of the request is running on this backend server. */
	ALREADY_RUNNING;

	/**
	 * Returns whether the rejection proves that the attempt has not run and never will.
	 * @return {@code true} if the rejection is such a proof
	 */
	public boolean provesNotRun() {
		return this != STALE_WINDOW && this != OTHER_INCARNATION && this != ALREADY_RUNNING;
	}

}

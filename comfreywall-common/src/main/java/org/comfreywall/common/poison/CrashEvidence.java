package org.comfreywall.common.poison;

/**
 * Ways in which the loss of a backend server is detected.
 */
public enum CrashEvidence {

	/** The sidecar observed that its backend server crashed. */
	BACKEND_CRASHED,
	/**
	 * The sidecar itself failed or became unreachable, such as by an instance failure.
	 */
	SIDECAR_LOST

}

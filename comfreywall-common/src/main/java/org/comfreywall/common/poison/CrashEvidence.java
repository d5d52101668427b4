package org.comfreywall.common.poison;

/**
 * Ways in which the crash of a backend server is detected.
 */
public enum CrashEvidence {

	/** The sidecar detected that its backend server crashed. */
	BACKEND_CRASHED,
	/**
	 * The sidecar itself failed or became unreachable, such as by an instance failure.
	 */
	SIDECAR_LOST

}

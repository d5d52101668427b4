package org.comfreywall.common.poison;

/**
 * Ways in which the loss of a backend server is noticed.
 */
public enum CrashEvidence {

	/** The sidecar saw its backend server crash. */
	BACKEND_CRASHED,
	/** The sidecar itself was lost, as when an instance or its network fails. */
	SIDECAR_LOST

}

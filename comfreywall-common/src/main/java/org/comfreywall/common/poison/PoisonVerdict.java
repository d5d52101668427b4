package org.comfreywall.common.poison;

/**
 * The classification of a fingerprint.
 */
public enum PoisonVerdict {

	/** No loss of a backend server is attributed to the fingerprint. */
	CLEAR,
	/**
	 * The fingerprint may have caused the loss of a backend server; its requests run only
	 * in isolation.
	 */
	SUSPECT,
	/** Requests with the fingerprint are rejected. */
	QUARANTINED

}

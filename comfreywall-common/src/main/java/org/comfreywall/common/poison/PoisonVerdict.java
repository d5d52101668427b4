package org.comfreywall.common.poison;

/**
 * The classification of a fingerprint.
 */
public enum PoisonVerdict {

	/** No crash is attributed to the fingerprint. */
	CLEAR,
	/** A crash is attributed to the fingerprint; its requests run only in isolation. */
	SUSPECT,
	/** Requests with the fingerprint are rejected. */
	QUARANTINED

}

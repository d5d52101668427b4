package org.comfreywall.common.poison;

/**
 * What is known about a fingerprint.
 */
public enum PoisonVerdict {

	/** No crash is charged to the fingerprint. */
	CLEAR,
	/** A crash is charged to the fingerprint; it may run only isolated. */
	SUSPECT,
	/** The fingerprint is refused. */
	QUARANTINED

}

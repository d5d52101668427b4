package org.comfreywall.common.claim;

/**
 * Kinds of evidence that an attempt has not run and never will.
 */
public enum NotRunEvidence {

	/**
	 * The entry instance that owns the request never passed the attempt to a connection.
	 */
	NEVER_SENT,
	/** The sidecar sealed the attempt and rejects every copy of it. */
	SEALED

}

package org.comfreywall.common.claim;

/**
 * Ways in which it can be known that an attempt never ran and never will.
 */
public enum NotRunEvidence {

	/** The entry that owns the request never handed the attempt to a connection. */
	NEVER_SENT,
	/** The sidecar promised to refuse every copy of the attempt. */
	SEALED

}

package org.comfreywall.entry.admit;

/**
 * How a started request ended, as far as the load of the backend servers goes.
 */
public enum FinishKind {

	/** It was answered. */
	ANSWERED,
	/** It failed for a reason other than load. */
	FAILED,
	/** It timed out or was refused because of the backend servers' load. */
	OVERLOADED,
	/** The caller went away. */
	CANCELLED

}

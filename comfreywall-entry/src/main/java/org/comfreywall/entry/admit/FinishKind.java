package org.comfreywall.entry.admit;

/**
 * How a started request ended, with regard to the load of the backend servers.
 */
public enum FinishKind {

	/** It was answered. */
	ANSWERED,
	/** It failed for a reason other than load. */
	FAILED,
	/** It timed out or was refused because of the backend servers' load. */
	OVERLOADED,
	/** The caller disconnected or cancelled the request. */
	CANCELLED

}

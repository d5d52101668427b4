package org.comfreywall.group.mapswitch;

/**
 * Outcomes of a requested switch.
 */
public enum SwitchOutcome {

	/** The switch was committed and every rank acknowledged the decision. */
	COMMITTED,
	/** The maximum number of attempts was aborted. */
	GAVE_UP,
	/** The switch was cancelled before it was committed. */
	CANCELLED,
	/** The request was rejected because another switch is in progress. */
	BUSY,
	/** A coordinator of a later term has taken over. */
	TERM_LOST

}

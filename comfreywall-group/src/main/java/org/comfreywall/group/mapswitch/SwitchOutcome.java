package org.comfreywall.group.mapswitch;

/**
 * Ways in which a requested switch can end.
 */
public enum SwitchOutcome {

	/** The switch was committed and every rank knows it. */
	COMMITTED,
	/** Too many attempts were aborted. */
	GAVE_UP,
	/** The switch was cancelled before it was committed. */
	CANCELLED,
	/** Another switch is under way. */
	BUSY,
	/** A later coordinator has taken over. */
	TERM_LOST

}

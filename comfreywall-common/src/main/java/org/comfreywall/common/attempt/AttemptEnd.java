package org.comfreywall.common.attempt;

/**
 * Reasons why a started attempt ended without a complete answer.
 */
public enum AttemptEnd {

	/** The backend server crashed. */
	CRASHED,
	/** The attempt was cancelled. */
	CANCELLED,
	/** The backend server ended the answer early. */
	BROKEN,
	/** Parts of the answer are no longer stored. */
	ANSWER_DROPPED

}

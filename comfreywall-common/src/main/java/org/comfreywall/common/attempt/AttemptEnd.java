package org.comfreywall.common.attempt;

/**
 * Ways in which an attempt that started ends without a whole answer.
 */
public enum AttemptEnd {

	/** The backend server crashed. */
	CRASHED,
	/** The attempt was cancelled. */
	CANCELLED,
	/** The backend server broke the answer off. */
	BROKEN,
	/** The answer is no longer stored as a whole. */
	ANSWER_DROPPED

}

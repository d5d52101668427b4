package org.comfreywall.common.result;

/**
 * The three ways in which a caller's request can end.
 */
public enum Outcome {

	/** The request ran and its whole answer is known. */
	COMPLETED,
	/** The request is proven not to have run and never to run later. */
	NOT_RUN,
	/** Whether the request ran cannot be proven. */
	UNKNOWN

}

package org.comfreywall.common.result;

/**
 * The possible outcomes of a caller's request.
 */
public enum Outcome {

	/** The request ran, and its complete answer is available. */
	COMPLETED,
	/** It is proven that the request has not run and never will. */
	NOT_RUN,
	/** It cannot be determined whether the request ran. */
	UNKNOWN

}

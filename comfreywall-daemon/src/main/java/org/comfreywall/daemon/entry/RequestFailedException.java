package org.comfreywall.daemon.entry;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;

/**
 * Ends the stream of an answer that is not whole.
 */
final class RequestFailedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	RequestFailedException(Outcome outcome, OperationError error) {
		super(error.message(), null, false, false);
		this.problem = new Problem(outcome, error);
	}

	Problem problem() {
		return this.problem;
	}

}

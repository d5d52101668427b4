package org.comfreywall.daemon.entry;

import java.time.Duration;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;

/**
 * Terminates the stream of an answer that is incomplete or was never started.
 */
final class RequestFailedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	RequestFailedException(Outcome outcome, OperationError error, Duration retryAfter) {
		super(error.message(), null, false, false);
		this.problem = new Problem(outcome, error, retryAfter);
	}

	Problem problem() {
		return this.problem;
	}

}

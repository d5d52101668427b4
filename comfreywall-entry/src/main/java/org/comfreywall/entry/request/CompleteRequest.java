package org.comfreywall.entry.request;

import java.util.Optional;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.util.Preconditions;

/**
 * Tell the caller how its request ended; no command about the caller follows.
 *
 * @param request the request
 * @param outcome the outcome
 * @param error why there is no whole answer, or empty if the request completed
 */
public record CompleteRequest(RequestId request, Outcome outcome,
		Optional<OperationError> error) implements RequestCommand {

	public CompleteRequest {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(outcome, "outcome");
		Preconditions.notNull(error, "error");
	}

}

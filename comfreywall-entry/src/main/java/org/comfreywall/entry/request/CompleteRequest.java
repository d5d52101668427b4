package org.comfreywall.entry.request;

import java.util.Optional;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports the outcome to the caller. No further {@link DeliverPart} or
 * {@code CompleteRequest} follows for the request.
 *
 * @param request the request
 * @param outcome the outcome
 * @param error the reason that the answer is incomplete or missing, or empty if the
 * request completed
 */
public record CompleteRequest(RequestId request, Outcome outcome,
		Optional<OperationError> error) implements RequestCommand {

	public CompleteRequest {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(outcome, "outcome");
		Preconditions.notNull(error, "error");
	}

}

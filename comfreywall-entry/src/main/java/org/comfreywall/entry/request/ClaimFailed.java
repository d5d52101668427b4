package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * The ledger of claims rejected the claim or could not be reached in time. The claim may
 * still be granted later.
 *
 * @param request the request
 * @param error the reason
 */
public record ClaimFailed(RequestId request, OperationError error) implements RequestEvent {

	public ClaimFailed {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(error, "error");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * No backend server is available for the request.
 *
 * @param request the request
 * @param error the reason
 */
public record RouteUnavailable(RequestId request, OperationError error) implements RequestEvent {

	public RouteUnavailable {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(error, "error");
	}

}

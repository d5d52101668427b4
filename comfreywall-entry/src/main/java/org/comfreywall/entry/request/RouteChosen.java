package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server was selected.
 *
 * @param request the request
 * @param target the backend server, with the incarnation and window last received from
 * its sidecar
 */
public record RouteChosen(RequestId request, AttemptTarget target) implements RequestEvent {

	public RouteChosen {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(target, "target");
	}

}

package org.comfreywall.entry.request;

import java.util.Set;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Selects a backend server. The driver responds with {@link RouteChosen} or
 * {@link RouteUnavailable}.
 *
 * @param request the request
 * @param excluded the backend servers that refused the request
 * @param isolated whether the request will run in isolation
 */
public record ChooseRoute(RequestId request, Set<BackendServerId> excluded,
		boolean isolated) implements RequestCommand {

	public ChooseRoute {
		Preconditions.notNull(request, "request");
		excluded = Set.copyOf(excluded);
	}

}

package org.comfreywall.entry.route;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.prefix.ResyncRequest;

/**
 * Requests a snapshot of a backend server's prefix cache.
 *
 * @param request the request
 */
public record ResyncCache(ResyncRequest request) implements RouterCommand {

	public ResyncCache {
		Preconditions.notNull(request, "request");
	}

}

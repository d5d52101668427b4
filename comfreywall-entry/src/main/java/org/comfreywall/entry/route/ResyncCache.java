package org.comfreywall.entry.route;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.prefix.ResyncRequest;

/**
 * Ask a backend server for a snapshot of its prefix cache.
 *
 * @param request the request
 */
public record ResyncCache(ResyncRequest request) implements RouterCommand {

	public ResyncCache {
		Preconditions.notNull(request, "request");
	}

}

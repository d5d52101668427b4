package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.util.Preconditions;

/**
 * A request for a snapshot of a backend server's prefix cache, because events are
 * missing.
 *
 * @param server the backend server
 */
public record ResyncRequest(BackendServerId server) {

	public ResyncRequest {
		Preconditions.notNull(server, "server");
	}

}

package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server has left or failed.
 *
 * @param server the backend server
 * @param incarnation the incarnation that ended
 */
public record ServerRemoved(BackendServerId server, Incarnation incarnation) implements RouterEvent {

	public ServerRemoved {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

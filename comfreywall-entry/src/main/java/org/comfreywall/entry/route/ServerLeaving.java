package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server is leaving and gets no new work in this life.
 *
 * @param server the backend server
 * @param incarnation the life that ends
 */
public record ServerLeaving(BackendServerId server, Incarnation incarnation) implements RouterEvent {

	public ServerLeaving {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

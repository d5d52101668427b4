package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A backend server is leaving: this incarnation gets no new requests.
 *
 * @param server the backend server
 * @param incarnation the incarnation that is leaving
 */
public record ServerLeaving(BackendServerId server, Incarnation incarnation) implements RouterEvent {

	public ServerLeaving {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

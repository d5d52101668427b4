package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A new connection to the same incarnation of a sidecar was established.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record ConnectionRestored(BackendServerId backendServer, Incarnation incarnation) implements RequestEvent {

	public ConnectionRestored {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

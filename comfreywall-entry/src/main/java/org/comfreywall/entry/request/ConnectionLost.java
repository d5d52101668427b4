package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A connection to a sidecar was closed or timed out. The sidecar itself may still be
 * running.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record ConnectionLost(BackendServerId backendServer, Incarnation incarnation) implements RequestEvent {

	public ConnectionLost {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

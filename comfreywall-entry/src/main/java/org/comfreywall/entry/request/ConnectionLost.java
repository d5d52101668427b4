package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A connection to a sidecar broke or went silent; the sidecar itself may be well.
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

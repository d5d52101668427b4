package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * An incarnation of a sidecar ended, or a new connection to it failed as well.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record SidecarLost(BackendServerId backendServer, Incarnation incarnation) implements RequestEvent {

	public SidecarLost {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

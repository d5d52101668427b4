package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A life of a sidecar ended, or it cannot be reached on a new connection either.
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

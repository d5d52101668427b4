package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Opens a second connection to a sidecar that has not sent anything within the progress
 * timeout. The driver responds with {@link ConnectionLost} and {@link ConnectionRestored}
 * if only the first connection is dead, or with {@link SidecarLost} if the second one
 * fails as well.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record ProbeConnection(BackendServerId backendServer, Incarnation incarnation) implements RequestCommand {

	public ProbeConnection {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

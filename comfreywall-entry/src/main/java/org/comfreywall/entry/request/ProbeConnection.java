package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Open a second connection to a sidecar that has been silent for too long; then answer
 * with {@link ConnectionLost} and {@link ConnectionRestored} if the first one is silent
 * for good, or with {@link SidecarLost} if the second one fails too.
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

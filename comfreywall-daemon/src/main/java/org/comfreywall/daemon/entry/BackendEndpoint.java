package org.comfreywall.daemon.entry;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.attempt.AttemptClient;

/**
 * A backend server that an entry can reach through its sidecar.
 *
 * @param id the backend server
 * @param service the service that it offers
 * @param incarnation the incarnation of its sidecar
 * @param client sends attempts to its sidecar
 */
record BackendEndpoint(BackendServerId id, ServiceId service, Incarnation incarnation, AttemptClient client) {

	BackendEndpoint {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(client, "client");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Requests that a sidecar sends the answer of a claimed request to this entry, or seals
 * the request if it has not started.
 *
 * @param owner the request that holds the claim
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record SendClaimQuery(RequestId owner, BackendServerId backendServer,
		Incarnation incarnation) implements RequestCommand {

	public SendClaimQuery {
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

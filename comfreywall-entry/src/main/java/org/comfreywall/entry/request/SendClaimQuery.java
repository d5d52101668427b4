package org.comfreywall.entry.request;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Ask a sidecar to let this entry follow the attempt of a claim, or to seal it.
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

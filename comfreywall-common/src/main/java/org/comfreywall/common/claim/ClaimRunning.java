package org.comfreywall.common.claim;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The state of a claim whose request may be running. A claim covers a single attempt.
 *
 * @param owner the request that holds the claim
 * @param backendServer the backend server to which the attempt is addressed
 * @param incarnation the incarnation of the sidecar to which the attempt is addressed
 */
public record ClaimRunning(RequestId owner, BackendServerId backendServer,
		Incarnation incarnation) implements ClaimState {

	public ClaimRunning {
		Preconditions.notNull(owner, "owner");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

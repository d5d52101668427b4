package org.comfreywall.entry.request;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Cancels an attempt whose answer is no longer needed.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record SendCancel(AttemptId attempt, BackendServerId backendServer,
		Incarnation incarnation) implements RequestCommand {

	public SendCancel {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

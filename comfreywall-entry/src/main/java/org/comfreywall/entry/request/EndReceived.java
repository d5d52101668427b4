package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A sidecar reported that a started attempt ended without a complete answer.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 * @param end how it ended
 * @param crashNumber the number of the crash within the incarnation of the sidecar,
 * starting at 1, or 0 if the backend server did not crash
 */
public record EndReceived(AttemptId attempt, BackendServerId backendServer, Incarnation incarnation, AttemptEnd end,
		int crashNumber) implements RequestEvent {

	public EndReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(end, "end");
	}

}

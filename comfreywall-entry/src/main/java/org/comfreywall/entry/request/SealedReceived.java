package org.comfreywall.entry.request;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A sidecar sealed an attempt: it did not run and the sidecar will never start it.
 *
 * @param attempt the attempt, or
 * {@link org.comfreywall.common.attempt.AttemptTarget#everyAttemptOf every attempt} of a
 * request
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 */
public record SealedReceived(AttemptId attempt, BackendServerId backendServer,
		Incarnation incarnation) implements RequestEvent {

	public SealedReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

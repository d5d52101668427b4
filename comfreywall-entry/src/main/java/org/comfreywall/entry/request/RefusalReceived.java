package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A sidecar refused an attempt.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar that the attempt was addressed to
 * @param refusal the reason
 */
public record RefusalReceived(AttemptId attempt, BackendServerId backendServer, Incarnation incarnation,
		AttemptRefusal refusal) implements RequestEvent {

	public RefusalReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(refusal, "refusal");
	}

}

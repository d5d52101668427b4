package org.comfreywall.entry.request;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Ask a sidecar for the rest of an answer.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 * @param nextSequence the number of the first part that is missing
 */
public record SendResume(AttemptId attempt, BackendServerId backendServer, Incarnation incarnation,
		long nextSequence) implements RequestCommand {

	public SendResume {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

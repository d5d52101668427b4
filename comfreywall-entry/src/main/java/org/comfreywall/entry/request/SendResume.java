package org.comfreywall.entry.request;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Requests the rest of an answer from a sidecar.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 * @param nextSequence the sequence number of the first missing part
 */
public record SendResume(AttemptId attempt, BackendServerId backendServer, Incarnation incarnation,
		long nextSequence) implements RequestCommand {

	public SendResume {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

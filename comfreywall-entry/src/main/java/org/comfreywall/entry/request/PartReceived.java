package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * A sidecar sent a part of an answer.
 *
 * @param attempt the attempt
 * @param backendServer the backend server
 * @param incarnation the incarnation of the sidecar
 * @param sequence the sequence number of the part within the answer, starting at 0
 * @param part the part
 */
public record PartReceived(AttemptId attempt, BackendServerId backendServer, Incarnation incarnation, long sequence,
		AnswerPart part) implements RequestEvent {

	public PartReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(part, "part");
	}

}

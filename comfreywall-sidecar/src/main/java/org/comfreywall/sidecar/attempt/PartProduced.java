package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * The backend server produced the next part of an answer.
 *
 * @param attempt the attempt
 * @param part the part
 */
public record PartProduced(AttemptId attempt, AnswerPart part) implements AttemptEvent {

	public PartProduced {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(part, "part");
	}

}

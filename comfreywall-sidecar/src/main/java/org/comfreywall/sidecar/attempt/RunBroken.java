package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * The backend server aborted an answer without crashing.
 *
 * @param attempt the attempt
 */
public record RunBroken(AttemptId attempt) implements AttemptEvent {

	public RunBroken {
		Preconditions.notNull(attempt, "attempt");
	}

}

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * A run could not be started and the backend server received no part of the request.
 *
 * @param attempt the attempt
 */
public record RunRefused(AttemptId attempt) implements AttemptEvent {

	public RunRefused {
		Preconditions.notNull(attempt, "attempt");
	}

}

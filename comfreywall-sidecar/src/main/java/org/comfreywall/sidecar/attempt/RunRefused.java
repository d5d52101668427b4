package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * A run could not be started, and nothing was sent to the backend server.
 *
 * @param attempt the attempt
 */
public record RunRefused(AttemptId attempt) implements AttemptEvent {

	public RunRefused {
		Preconditions.notNull(attempt, "attempt");
	}

}

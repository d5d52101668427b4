package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends the request to the backend server.
 *
 * @param attempt the attempt
 */
public record StartRun(AttemptId attempt) implements AttemptCommand {

	public StartRun {
		Preconditions.notNull(attempt, "attempt");
	}

}

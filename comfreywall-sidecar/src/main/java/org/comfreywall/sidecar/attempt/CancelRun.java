package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * Cancels the run on the backend server.
 *
 * @param attempt the attempt
 */
public record CancelRun(AttemptId attempt) implements AttemptCommand {

	public CancelRun {
		Preconditions.notNull(attempt, "attempt");
	}

}

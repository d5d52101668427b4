package org.comfreywall.entry.route;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An attempt ended without a failure of its backend server; this includes cancelled
 * attempts.
 *
 * @param attempt the attempt
 */
public record AttemptFinished(AttemptId attempt) implements RouterEvent {

	public AttemptFinished {
		Preconditions.notNull(attempt, "attempt");
	}

}

package org.comfreywall.entry.route;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An attempt failed because of its backend server; it counts towards ejection.
 *
 * @param attempt the attempt
 */
public record AttemptFailed(AttemptId attempt) implements RouterEvent {

	public AttemptFailed {
		Preconditions.notNull(attempt, "attempt");
	}

}

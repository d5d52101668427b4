package org.comfreywall.entry.route;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * The first token, or byte, of an attempt's answer was received.
 *
 * @param attempt the attempt
 */
public record FirstTokenReceived(AttemptId attempt) implements RouterEvent {

	public FirstTokenReceived {
		Preconditions.notNull(attempt, "attempt");
	}

}

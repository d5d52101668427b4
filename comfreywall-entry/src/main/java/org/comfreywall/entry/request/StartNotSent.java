package org.comfreywall.entry.request;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An attempt was not passed to any connection and will not be.
 *
 * @param attempt the attempt
 */
public record StartNotSent(AttemptId attempt) implements RequestEvent {

	public StartNotSent {
		Preconditions.notNull(attempt, "attempt");
	}

}

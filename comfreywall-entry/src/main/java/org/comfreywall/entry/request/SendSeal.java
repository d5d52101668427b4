package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * Requests that a sidecar seals an attempt unless it has started.
 *
 * @param attempt the attempt
 * @param target the backend server and the incarnation of its sidecar
 */
public record SendSeal(AttemptId attempt, AttemptTarget target) implements RequestCommand {

	public SendSeal {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(target, "target");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends an attempt to a sidecar at most once. If it was not sent, the driver responds
 * with {@link StartNotSent}.
 *
 * @param attempt the attempt
 * @param target the backend server, with the incarnation and window of its sidecar
 * @param traits the properties of the request that the sidecar checks
 */
public record SendStart(AttemptId attempt, AttemptTarget target, AttemptTraits traits) implements RequestCommand {

	public SendStart {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(target, "target");
		Preconditions.notNull(traits, "traits");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * Send an attempt to a sidecar, at most once, or answer with {@link StartNotSent}.
 *
 * @param attempt the attempt
 * @param target the addressee
 * @param traits what the sidecar must know
 */
public record SendStart(AttemptId attempt, AttemptTarget target, AttemptTraits traits) implements RequestCommand {

	public SendStart {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(target, "target");
		Preconditions.notNull(traits, "traits");
	}

}

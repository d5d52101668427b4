package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry requested to run an attempt.
 *
 * @param attempt the attempt
 * @param target the addressed backend server and incarnation
 * @param traits the properties of the request
 * @param link the connection from the entry
 */
public record StartReceived(AttemptId attempt, AttemptTarget target, AttemptTraits traits,
		EntryLink link) implements AttemptEvent {

	public StartReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(target, "target");
		Preconditions.notNull(traits, "traits");
		Preconditions.notNull(link, "link");
	}

}

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry requested to seal its attempt unless it has started.
 *
 * @param attempt the attempt
 * @param target the addressed backend server and incarnation
 * @param link the connection from the entry
 */
public record SealReceived(AttemptId attempt, AttemptTarget target, EntryLink link) implements AttemptEvent {

	public SealReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(target, "target");
		Preconditions.notNull(link, "link");
	}

}

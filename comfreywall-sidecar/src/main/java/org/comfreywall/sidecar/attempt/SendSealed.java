package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Promise that an attempt never ran and never will.
 *
 * @param link the connection of the receiver
 * @param attempt the attempt, or
 * {@link org.comfreywall.common.attempt.AttemptTarget#everyAttemptOf every attempt} of a
 * request
 * @param incarnation the incarnation of this sidecar
 */
public record SendSealed(EntryLink link, AttemptId attempt, Incarnation incarnation) implements AttemptCommand {

	public SendSealed {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

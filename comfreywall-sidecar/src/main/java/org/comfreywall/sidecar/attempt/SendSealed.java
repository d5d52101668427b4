package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Confirms to an entry that an attempt has not run and will never run.
 *
 * @param link the connection to the entry
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

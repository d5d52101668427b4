package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry asks for the rest of an answer on a new connection.
 *
 * @param attempt the attempt
 * @param incarnation the incarnation of the sidecar that is addressed
 * @param nextSequence the number of the first part that the entry lacks
 * @param link the connection of the sender
 */
public record ResumeReceived(AttemptId attempt, Incarnation incarnation, long nextSequence,
		EntryLink link) implements AttemptEvent {

	public ResumeReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(link, "link");
		Preconditions.check(nextSequence >= 0, "nextSequence must not be negative: %d", nextSequence);
	}

}

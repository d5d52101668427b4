package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry requested the rest of an answer on a new connection.
 *
 * @param attempt the attempt
 * @param incarnation the addressed incarnation of the sidecar
 * @param nextSequence the sequence number of the first part that the entry has not
 * received
 * @param link the connection from the entry
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

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a part of an answer to an entry.
 *
 * @param link the connection to the entry
 * @param attempt the attempt
 * @param incarnation the incarnation of this sidecar
 * @param sequence the sequence number of the part, starting at 0
 * @param part the part
 */
public record SendPart(EntryLink link, AttemptId attempt, Incarnation incarnation, long sequence,
		AnswerPart part) implements AttemptCommand {

	public SendPart {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(part, "part");
	}

}

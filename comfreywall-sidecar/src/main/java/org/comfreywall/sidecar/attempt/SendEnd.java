package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Tell that an attempt which started ended without a whole answer.
 *
 * @param link the connection of the receiver
 * @param attempt the attempt
 * @param incarnation the incarnation of this sidecar
 * @param end how it ended
 * @param crash the number of the crash within the incarnation, or 0 if the backend server
 * did not crash
 */
public record SendEnd(EntryLink link, AttemptId attempt, Incarnation incarnation, AttemptEnd end,
		int crash) implements AttemptCommand {

	public SendEnd {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(end, "end");
	}

}

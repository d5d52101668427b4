package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports to an entry that a started attempt ended without a complete answer.
 *
 * @param link the connection to the entry
 * @param attempt the attempt
 * @param incarnation the incarnation of this sidecar
 * @param end how it ended
 * @param crash the number of the crash within the sidecar's incarnation, counted from 1,
 * or 0 if the backend server did not crash
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

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports to an entry that an attempt was accepted and may have started.
 *
 * @param link the connection to the entry
 * @param attempt the attempt
 * @param incarnation the incarnation of this sidecar
 */
public record SendStarted(EntryLink link, AttemptId attempt, Incarnation incarnation) implements AttemptCommand {

	public SendStarted {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Sends a refusal of an attempt to an entry.
 *
 * @param link the connection to the entry
 * @param attempt the attempt
 * @param incarnation the incarnation to which the attempt was addressed
 * @param refusal the reason
 * @param window the current window of the sidecar
 */
public record SendRefusal(EntryLink link, AttemptId attempt, Incarnation incarnation, AttemptRefusal refusal,
		long window) implements AttemptCommand {

	public SendRefusal {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(refusal, "refusal");
	}

}

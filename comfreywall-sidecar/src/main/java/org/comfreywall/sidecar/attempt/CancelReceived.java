package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry requested to cancel an attempt. A queued or unknown attempt is sealed, and a
 * running one is cancelled if its request is idempotent. In all other cases the event has
 * no effect.
 *
 * @param attempt the attempt
 * @param incarnation the addressed incarnation of the sidecar
 */
public record CancelReceived(AttemptId attempt, Incarnation incarnation) implements AttemptEvent {

	public CancelReceived {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(incarnation, "incarnation");
	}

}

package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * An entry cancelled an attempt of an idempotent request.
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

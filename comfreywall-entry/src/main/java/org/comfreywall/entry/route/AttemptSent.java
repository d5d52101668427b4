package org.comfreywall.entry.route;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An attempt left for the chosen backend server.
 *
 * @param attempt the attempt; one that was sent before has no effect
 * @param request what was asked of {@link Router#choose}
 * @param choice what it answered
 */
public record AttemptSent(AttemptId attempt, RouteRequest request, RouteChoice choice) implements RouterEvent {

	public AttemptSent {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(request, "request");
		Preconditions.notNull(choice, "choice");
	}

}

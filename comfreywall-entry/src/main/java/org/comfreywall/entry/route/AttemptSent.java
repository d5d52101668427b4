package org.comfreywall.entry.route;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.util.Preconditions;

/**
 * An attempt was sent to the chosen backend server.
 *
 * @param attempt the attempt; a second event for the same attempt has no effect
 * @param request the request passed to {@link Router#choose}
 * @param choice the choice that it returned
 */
public record AttemptSent(AttemptId attempt, RouteRequest request, RouteChoice choice) implements RouterEvent {

	public AttemptSent {
		Preconditions.notNull(attempt, "attempt");
		Preconditions.notNull(request, "request");
		Preconditions.notNull(choice, "choice");
	}

}

package org.comfreywall.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.entry.route.AttemptFailed;
import org.comfreywall.entry.route.AttemptFinished;
import org.comfreywall.entry.route.FirstTokenReceived;
import org.comfreywall.entry.route.RouteChoice;
import org.comfreywall.entry.route.RouteRequest;

/**
 * Reports the progress of attempts to the routers that chose their backend servers: each
 * attempt is reported as sent once and as ended once.
 */
final class RoutingFeedback {

	private final RouterRegistry routers;

	private final Map<RequestId, RoutedAttempt> latest = new HashMap<>();

	RoutingFeedback(RouterRegistry routers) {
		this.routers = routers;
	}

	Optional<RouteChoice> choose(CallerRequest request, Set<BackendServerId> excluded) {
		reportEnded(request.id(), false);
		RouteRequest routeRequest = this.routers.routeRequest(request, excluded);
		Optional<RouteChoice> choice = this.routers.choose(routeRequest, request.service());
		choice.ifPresent((chosen) -> this.latest.put(request.id(),
				new RoutedAttempt(request.service(), routeRequest, chosen, Optional.empty())));
		return choice;
	}

	void reportSent(AttemptId attempt) {
		RoutedAttempt chosen = this.latest.get(attempt.request());
		if (chosen != null && chosen.attempt().isEmpty()) {
			this.latest.put(attempt.request(), chosen.withAttempt(attempt));
			this.routers.reportSent(chosen.service(), attempt, chosen.request(), chosen.choice());
		}
	}

	void reportFirstToken(RequestId request) {
		RoutedAttempt sent = this.latest.get(request);
		if (sent != null) {
			sent.attempt()
				.ifPresent((attempt) -> this.routers.dispatch(sent.service(), new FirstTokenReceived(attempt)));
		}
	}

	void reportEnded(RequestId request, boolean whole) {
		RoutedAttempt last = this.latest.remove(request);
		if (last != null) {
			last.attempt()
				.ifPresent((attempt) -> this.routers.dispatch(last.service(),
						whole ? new AttemptFinished(attempt) : new AttemptFailed(attempt)));
		}
	}

	/**
	 * The latest attempt of a request.
	 *
	 * @param service the request's service
	 * @param request the route request that the choice was made for
	 * @param choice the chosen backend server
	 * @param attempt the identifier of the attempt, once it was sent
	 */
	private record RoutedAttempt(ServiceId service, RouteRequest request, RouteChoice choice,
			Optional<AttemptId> attempt) {

		RoutedAttempt withAttempt(AttemptId id) {
			return new RoutedAttempt(this.service, this.request, this.choice, Optional.of(id));
		}

	}

}

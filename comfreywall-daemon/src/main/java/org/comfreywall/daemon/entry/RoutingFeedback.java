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
 * attempt that is sent is reported as sent once and as ended once.
 */
final class RoutingFeedback {

	private final RouterRegistry routers;

	private final Map<RequestId, RoutedAttempt> latestAttempts = new HashMap<>();

	RoutingFeedback(RouterRegistry routers) {
		this.routers = routers;
	}

	Optional<RouteChoice> choose(CallerRequest request, Set<BackendServerId> excluded) {
		// A second choice for a request means that its previous attempt did not complete.
		reportEnded(request.id(), false);
		RouteRequest routeRequest = this.routers.routeRequest(request, excluded);
		Optional<RouteChoice> choice = this.routers.choose(routeRequest, request.service());
		choice.ifPresent((chosen) -> this.latestAttempts.put(request.id(),
				new RoutedAttempt(request.service(), routeRequest, chosen, Optional.empty())));
		return choice;
	}

	void reportSent(AttemptId attempt) {
		RoutedAttempt routed = this.latestAttempts.get(attempt.request());
		if (routed != null && routed.attempt().isEmpty()) {
			this.latestAttempts.put(attempt.request(), routed.withAttempt(attempt));
			this.routers.reportSent(routed.service(), attempt, routed.routeRequest(), routed.choice());
		}
	}

	void reportFirstToken(RequestId request) {
		RoutedAttempt routed = this.latestAttempts.get(request);
		if (routed != null) {
			routed.attempt()
				.ifPresent((attempt) -> this.routers.dispatch(routed.service(), new FirstTokenReceived(attempt)));
		}
	}

	void reportEnded(RequestId request, boolean completed) {
		RoutedAttempt routed = this.latestAttempts.remove(request);
		if (routed != null) {
			routed.attempt()
				.ifPresent((attempt) -> this.routers.dispatch(routed.service(),
						completed ? new AttemptFinished(attempt) : new AttemptFailed(attempt)));
		}
	}

	/**
	 * The latest attempt of a request.
	 *
	 * @param service the request's service
	 * @param routeRequest the route request that the choice was made for
	 * @param choice the chosen backend server
	 * @param attempt the identifier of the attempt; empty until it is sent
	 */
	private record RoutedAttempt(ServiceId service, RouteRequest routeRequest, RouteChoice choice,
			Optional<AttemptId> attempt) {

		RoutedAttempt withAttempt(AttemptId id) {
			return new RoutedAttempt(this.service, this.routeRequest, this.choice, Optional.of(id));
		}

	}

}

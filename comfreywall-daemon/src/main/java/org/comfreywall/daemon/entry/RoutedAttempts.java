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
 * Tells the routers what becomes of the attempts that they chose backend servers for;
 * each attempt is reported as sent once and as ended once.
 */
final class RoutedAttempts {

	private final RouterRegistry routers;

	private final Map<RequestId, RoutedAttempt> latest = new HashMap<>();

	RoutedAttempts(RouterRegistry routers) {
		this.routers = routers;
	}

	Optional<RouteChoice> choose(CallerRequest request, Set<BackendServerId> excluded) {
		ended(request.id(), false);
		RouteRequest wanted = this.routers.routeRequest(request, excluded);
		Optional<RouteChoice> choice = this.routers.choose(wanted, request.service());
		choice.ifPresent((chosen) -> this.latest.put(request.id(),
				new RoutedAttempt(request.service(), wanted, chosen, Optional.empty())));
		return choice;
	}

	void sent(AttemptId attempt) {
		RoutedAttempt chosen = this.latest.get(attempt.request());
		if (chosen != null && chosen.attempt().isEmpty()) {
			this.latest.put(attempt.request(), chosen.sentAs(attempt));
			this.routers.sent(chosen.service(), attempt, chosen.request(), chosen.choice());
		}
	}

	void firstToken(RequestId request) {
		RoutedAttempt sent = this.latest.get(request);
		if (sent != null) {
			sent.attempt().ifPresent((attempt) -> this.routers.on(sent.service(), new FirstTokenReceived(attempt)));
		}
	}

	void ended(RequestId request, boolean whole) {
		RoutedAttempt last = this.latest.remove(request);
		if (last != null) {
			last.attempt()
				.ifPresent((attempt) -> this.routers.on(last.service(),
						whole ? new AttemptFinished(attempt) : new AttemptFailed(attempt)));
		}
	}

	/**
	 * The latest attempt of a request.
	 *
	 * @param service the request's service
	 * @param request what the choice depended on
	 * @param choice the choice
	 * @param attempt the attempt, once sent
	 */
	private record RoutedAttempt(ServiceId service, RouteRequest request, RouteChoice choice,
			Optional<AttemptId> attempt) {

		RoutedAttempt sentAs(AttemptId number) {
			return new RoutedAttempt(this.service, this.request, this.choice, Optional.of(number));
		}

	}

}

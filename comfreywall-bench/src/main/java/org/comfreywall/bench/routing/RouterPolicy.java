package org.comfreywall.bench.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.route.AttemptFinished;
import org.comfreywall.entry.route.AttemptSent;
import org.comfreywall.entry.route.CacheEventReceived;
import org.comfreywall.entry.route.FirstTokenReceived;
import org.comfreywall.entry.route.LoadReport;
import org.comfreywall.entry.route.LoadReported;
import org.comfreywall.entry.route.RouteChoice;
import org.comfreywall.entry.route.RouteRequest;
import org.comfreywall.entry.route.Router;
import org.comfreywall.entry.route.RouterSettings;
import org.comfreywall.entry.route.ServerAnnounced;
import org.comfreywall.entry.route.ServerProfile;
import org.comfreywall.entry.route.SessionId;

/**
 * Chooses backend servers with the {@link Router} under test.
 */
final class RouterPolicy implements LoadBalancingPolicy {

	private static final ServerProfile PROFILE = new ServerProfile(SimulatedServer.SLOTS, Duration.ofMillis(20), 10_000,
			false);

	private final Router router;

	RouterPolicy(int entry, int servers, RandomGenerator random) {
		this.router = new Router(InstanceId.of("entry-" + entry), RouterSettings.DEFAULTS,
				(domain) -> RoutingSimulation.oneWayDelayNanos(entry, Integer.parseInt(domain.value())), random,
				DecisionListener.NONE);
		for (int server = 0; server < servers; server++) {
			this.router.on(new ServerAnnounced(SimulatedServer.id(server), SimulatedServer.INCARNATION,
					FailureDomainId.of(Integer.toString(RoutingSimulation.domainOf(server))), PROFILE), 0);
		}
	}

	@Override
	public int choose(Arrival arrival, long now) {
		RouteRequest request = new RouteRequest(RequestId.of("request-" + arrival.number()), arrival.priority(),
				arrival.promptTokens(), arrival.prompt(),
				Optional.of(new SessionId(arrival.account(), "session-" + arrival.session())), Set.of());
		RouteChoice choice = this.router.choose(request, now).orElseThrow();
		this.router.on(new AttemptSent(attemptId(arrival), request, choice), now);
		return serverIndex(choice.server());
	}

	@Override
	public void onFirstToken(Arrival arrival, long now) {
		this.router.on(new FirstTokenReceived(attemptId(arrival)), now);
	}

	@Override
	public void onFinished(Arrival arrival, int server, long now) {
		this.router.on(new AttemptFinished(attemptId(arrival)), now);
	}

	@Override
	public void onLoadReport(int server, LoadReport report, long now) {
		this.router.on(new LoadReported(report), now);
	}

	@Override
	public boolean onCacheEvent(int server, CacheEvent event, long now) {
		List<?> commands = this.router.on(new CacheEventReceived(event), now);
		return !commands.isEmpty();
	}

	private static AttemptId attemptId(Arrival arrival) {
		return new AttemptId(RequestId.of("request-" + arrival.number()), 1);
	}

	private static int serverIndex(BackendServerId server) {
		return Integer.parseInt(server.value().substring(server.value().indexOf('-') + 1));
	}

}

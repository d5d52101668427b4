package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.entry.prefix.PromptChain;
import org.comfreywall.entry.route.AttemptSent;
import org.comfreywall.entry.route.Distances;
import org.comfreywall.entry.route.EntriesChanged;
import org.comfreywall.entry.route.LoadReport;
import org.comfreywall.entry.route.LoadReported;
import org.comfreywall.entry.route.QueuedTokens;
import org.comfreywall.entry.route.RouteChoice;
import org.comfreywall.entry.route.RouteRequest;
import org.comfreywall.entry.route.Router;
import org.comfreywall.entry.route.RouterEvent;
import org.comfreywall.entry.route.RouterSettings;
import org.comfreywall.entry.route.ServerAnnounced;
import org.comfreywall.entry.route.ServerLeaving;
import org.comfreywall.entry.route.ServerProfile;
import org.comfreywall.entry.route.ServerRemoved;
import org.comfreywall.entry.route.TimePassed;
import org.comfreywall.transport.generated.Load;

/**
 * The routers of an entry, one per service, created on first use.
 */
final class RouterRegistry {

	private static final int ESTIMATED_BYTES_PER_TOKEN = 4;

	private static final int BLOCK_TOKENS = 64;

	private final InstanceId self;

	private final FailureDomainId domain;

	private final RandomGenerator random;

	private final Clock clock;

	private final DecisionListener decisions;

	private final Map<ServiceId, Router> routers = new HashMap<>();

	RouterRegistry(InstanceId self, FailureDomainId domain, RandomGenerator random, Clock clock,
			DecisionListener decisions) {
		this.self = self;
		this.domain = domain;
		this.random = random;
		this.clock = clock;
		this.decisions = decisions;
	}

	void addServer(SidecarLink link, Incarnation incarnation) {
		dispatch(link.service(), new ServerAnnounced(link.server(), incarnation, link.domain(), ServerProfile.DEFAULT));
	}

	void removeServer(SidecarLink link, Incarnation incarnation) {
		dispatch(link.service(), new ServerRemoved(link.server(), incarnation));
	}

	void reportLoad(SidecarLink link, Load load) {
		Incarnation incarnation = Incarnation.of(load.getIncarnation());
		if (load.getLeaving()) {
			dispatch(link.service(), new ServerLeaving(link.server(), incarnation));
			return;
		}
		QueuedTokens queued = new QueuedTokens(load.getQueuedInteractiveTokens(), load.getQueuedStandardTokens(),
				load.getQueuedBatchTokens());
		dispatch(link.service(), new LoadReported(new LoadReport(link.server(), incarnation, load.getSequence(),
				this.clock.nanoTime(), load.getRunning(), 0, queued, 0, 0, 0)));
	}

	Optional<RouteChoice> choose(RouteRequest request, ServiceId service) {
		return router(service).choose(request, this.clock.nanoTime());
	}

	void reportSent(ServiceId service, AttemptId attempt, RouteRequest request, RouteChoice choice) {
		dispatch(service, new AttemptSent(attempt, request, choice));
	}

	void dispatch(ServiceId service, RouterEvent event) {
		router(service).on(event, this.clock.nanoTime());
	}

	int inFlight(ServiceId service, BackendServerId server) {
		return router(service).inFlight(server);
	}

	void tick() {
		this.routers.values().forEach((router) -> router.on(new TimePassed(), this.clock.nanoTime()));
	}

	RouteRequest routeRequest(CallerRequest request, Set<BackendServerId> excluded) {
		if (!request.path().startsWith(RequestResolver.CHAT_PATH)) {
			RouteRequest plain = RouteRequest.plain(request.id(), request.priority());
			return new RouteRequest(plain.request(), plain.priority(), 0, PromptChain.EMPTY, Optional.empty(),
					excluded);
		}
		Bytes body = request.body();
		int tokens = body.length() / ESTIMATED_BYTES_PER_TOKEN;
		PromptChain chain = PromptChain.of(body, BLOCK_TOKENS * ESTIMATED_BYTES_PER_TOKEN, BLOCK_TOKENS);
		return new RouteRequest(request.id(), request.priority(), tokens, chain, Optional.empty(), excluded);
	}

	private Router router(ServiceId service) {
		return this.routers.computeIfAbsent(service, (unused) -> {
			Router router = new Router(this.self, RouterSettings.DEFAULTS, distances(), this.random, this.decisions);
			router.on(new EntriesChanged(Set.of(this.self)), this.clock.nanoTime());
			return router;
		});
	}

	private Distances distances() {
		long otherDomainNanos = Duration.ofMillis(1).toNanos();
		return (other) -> other.equals(this.domain) ? 0 : otherDomainNanos;
	}

}

package org.comfreywall.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.kv.KvPlanner;
import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.BlocksRemoved;
import org.comfreywall.entry.prefix.BlocksStored;
import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.prefix.CacheSnapshot;
import org.comfreywall.entry.prefix.PrefixSettings;
import org.comfreywall.entry.prefix.PromptChain;
import org.comfreywall.entry.route.AttemptFailed;
import org.comfreywall.entry.route.AttemptFinished;
import org.comfreywall.entry.route.AttemptSent;
import org.comfreywall.entry.route.CacheEventReceived;
import org.comfreywall.entry.route.EjectionSettings;
import org.comfreywall.entry.route.EntriesChanged;
import org.comfreywall.entry.route.FirstTokenReceived;
import org.comfreywall.entry.route.LoadReport;
import org.comfreywall.entry.route.LoadReported;
import org.comfreywall.entry.route.QueuedTokens;
import org.comfreywall.entry.route.RouteChoice;
import org.comfreywall.entry.route.RouteRequest;
import org.comfreywall.entry.route.Router;
import org.comfreywall.entry.route.RouterCommand;
import org.comfreywall.entry.route.RouterEvent;
import org.comfreywall.entry.route.RouterSettings;
import org.comfreywall.entry.route.ServerAnnounced;
import org.comfreywall.entry.route.ServerEjected;
import org.comfreywall.entry.route.ServerLeaving;
import org.comfreywall.entry.route.ServerProfile;
import org.comfreywall.entry.route.ServerRemoved;
import org.comfreywall.entry.route.SessionId;
import org.comfreywall.entry.route.TimePassed;

/**
 * Feeds a router random events, some of them late, duplicated or out of order, and checks
 * its invariants after each event through its public methods.
 */
final class RandomRouterRun {

	private static final int SERVERS = 14;

	private static final int MAX_VIOLATIONS = 20;

	private static final RouterSettings SETTINGS = new RouterSettings(10, 0.05, Duration.ofMillis(2),
			Duration.ofMillis(50), Duration.ofSeconds(1), 12, 8, 200,
			new EjectionSettings(2, 0.34, Duration.ofSeconds(1), Duration.ofSeconds(20)),
			new PrefixSettings(50, Duration.ofSeconds(60), Duration.ofSeconds(20), 0.9, 0.8, Duration.ofSeconds(2)),
			KvPlanner.DEFAULTS);

	private final Random random;

	private final Router router;

	private final long[] announcedIncarnations = new long[SERVERS];

	private final long[] endedIncarnations = new long[SERVERS];

	private final Map<AttemptId, RouteChoice> inFlight = new HashMap<>();

	private final List<AttemptId> attempts = new ArrayList<>();

	private final Map<BackendServerId, Long> ejectedUntil = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private long now = 1;

	private long step;

	private long choices;

	private long refusals;

	private long ejections;

	RandomRouterRun(long seed) {
		this.random = new Random(seed);
		this.router = new Router(InstanceId.of("entry-0"), SETTINGS, (domain) -> 500_000, new Random(seed + 1),
				DecisionListener.NONE);
	}

	/**
	 * Runs random steps until the given number is reached or too many violations are
	 * found.
	 * @param steps the number of steps
	 */
	void run(long steps) {
		for (this.step = 1; this.step <= steps && this.violations.size() < MAX_VIOLATIONS; this.step++) {
			this.now += this.random.nextInt(20_000_000);
			performRandomAction();
			checkState();
		}
	}

	List<String> violations() {
		return List.copyOf(this.violations);
	}

	long choices() {
		return this.choices;
	}

	long refusals() {
		return this.refusals;
	}

	long ejections() {
		return this.ejections;
	}

	private void performRandomAction() {
		int draw = this.random.nextInt(100);
		if (draw < 45) {
			choose();
		}
		else if (draw < 75 && !this.attempts.isEmpty()) {
			handleRandomAttemptEvent();
		}
		else if (draw < 88) {
			handleEvent(randomLoadOrCacheEvent());
		}
		else {
			handleEvent(randomMembershipEvent());
		}
	}

	private void choose() {
		RouteRequest request = randomRequest();
		Optional<RouteChoice> chosen = this.router.choose(request, this.now);
		this.choices++;
		this.refusals += chosen.isEmpty() ? 1 : 0;
		chosen.ifPresent((choice) -> {
			checkChoice(choice, request);
			if (this.random.nextInt(10) > 0) {
				AttemptId attempt = new AttemptId(request.request(), 1);
				handleEvent(new AttemptSent(attempt, request, choice));
				this.inFlight.put(attempt, choice);
				this.attempts.add(attempt);
			}
		});
	}

	private void checkChoice(RouteChoice choice, RouteRequest request) {
		int index = serverIndex(choice.server());
		long incarnation = choice.incarnation().value();
		require(incarnation == this.announcedIncarnations[index], "unknown-life-chosen");
		require(incarnation > this.endedIncarnations[index], "leaving-or-ended-server-chosen");
		require(!request.excluded().contains(choice.server()), "excluded-server-chosen");
		require(!this.router.ejected(this.now).contains(choice.server()), "ejected-server-chosen");
	}

	private void checkState() {
		Set<BackendServerId> ejected = new HashSet<>(this.router.ejected(this.now));
		ejected.forEach(
				(server) -> require(this.ejectedUntil.getOrDefault(server, 0L) > this.now, "ejected-without-command"));
		require(ejected.size() <= Math.floor(SETTINGS.ejection().maxEjectedShare() * this.router.subset().size()),
				"too-many-ejected");
		for (BackendServerId server : this.router.subset()) {
			long incarnation = this.announcedIncarnations[serverIndex(server)];
			long expected = this.inFlight.values()
				.stream()
				.filter((choice) -> choice.server().equals(server) && choice.incarnation().value() == incarnation)
				.count();
			require(this.router.inFlight(server) == expected, "in-flight-count-wrong");
		}
		require(this.router.status().servers() <= SETTINGS.maxServers(), "too-many-servers");
		require(this.router.status().sessions() <= SETTINGS.maxSessions(), "too-many-sessions");
		require(this.router.status().inFlight() <= SETTINGS.maxInFlight(), "too-many-in-flight");
		require(this.router.status().blockLocations() <= SETTINGS.prefix().maxLocations(), "too-many-prefix-claims");
		require(this.router.breaches() == 0, "internal-invariant-breached");
	}

	private void handleRandomAttemptEvent() {
		AttemptId attempt = this.attempts.get(this.random.nextInt(this.attempts.size()));
		int draw = this.random.nextInt(10);
		if (draw < 3) {
			handleEvent(new FirstTokenReceived(attempt));
			return;
		}
		handleEvent((draw < 7) ? new AttemptFinished(attempt) : new AttemptFailed(attempt));
		this.inFlight.remove(attempt);
		if (this.random.nextInt(4) > 0) {
			this.attempts.remove(attempt);
		}
	}

	private void handleEvent(RouterEvent event) {
		for (RouterCommand command : this.router.on(event, this.now)) {
			if (command instanceof ServerEjected ejected) {
				this.ejections++;
				this.ejectedUntil.put(ejected.server(), this.now + ejected.duration().toNanos());
			}
		}
	}

	private RouterEvent randomMembershipEvent() {
		int index = this.random.nextInt(SERVERS);
		int draw = this.random.nextInt(20);
		if (draw < 9) {
			return randomAnnouncement(index);
		}
		if (draw < 14) {
			return new TimePassed();
		}
		if (draw < 15) {
			return new EntriesChanged(
					Set.of(InstanceId.of("entry-" + (1 + this.random.nextInt(5))), InstanceId.of("entry-0")));
		}
		long incarnation = Math.max(0, this.announcedIncarnations[index] - this.random.nextInt(2));
		this.endedIncarnations[index] = Math.max(this.endedIncarnations[index], incarnation);
		return (draw < 18) ? new ServerLeaving(serverId(index), Incarnation.of(incarnation))
				: new ServerRemoved(serverId(index), Incarnation.of(incarnation));
	}

	private RouterEvent randomAnnouncement(int index) {
		long incarnation = Math.max(1, this.announcedIncarnations[index] + this.random.nextInt(3) - 1);
		if (incarnation > this.endedIncarnations[index] && incarnation > this.announcedIncarnations[index]
				&& acceptsAnnouncement(index)) {
			this.announcedIncarnations[index] = incarnation;
		}
		return new ServerAnnounced(serverId(index), Incarnation.of(incarnation),
				FailureDomainId.of("domain-" + index % 3),
				new ServerProfile(8, Duration.ofMillis(10), 8000, index % 2 == 0));
	}

	/**
	 * Returns whether the router accepts an announcement: it rejects unknown backend
	 * servers once it has reached its maximum number.
	 * @param index the index of the backend server
	 * @return whether the announcement is accepted
	 */
	private boolean acceptsAnnouncement(int index) {
		return this.router.status().servers() < SETTINGS.maxServers() || this.router.isAnnounced(serverId(index));
	}

	private RouterEvent randomLoadOrCacheEvent() {
		int index = this.random.nextInt(SERVERS);
		Incarnation incarnation = Incarnation
			.of(Math.max(0, this.announcedIncarnations[index] - this.random.nextInt(2)));
		if (this.random.nextBoolean()) {
			return new LoadReported(new LoadReport(serverId(index), incarnation, this.random.nextInt(1000),
					Math.max(0, this.now - this.random.nextInt(2_000_000_000)), this.random.nextInt(10),
					this.random.nextInt(10),
					new QueuedTokens(this.random.nextInt(5000), this.random.nextInt(5000), this.random.nextInt(5000)),
					this.random.nextInt(50_000_000), this.random.nextInt(9000), this.random.nextInt(9)));
		}
		return new CacheEventReceived(randomCacheEvent(serverId(index), incarnation));
	}

	private CacheEvent randomCacheEvent(BackendServerId server, Incarnation incarnation) {
		long sequence = this.step / 100 + this.random.nextInt(3);
		BlockHashes hashes = BlockHashes.of(this.random.longs(5, 0, 30).toArray());
		int draw = this.random.nextInt(10);
		if (draw < 6) {
			return new BlocksStored(server, incarnation, sequence, hashes);
		}
		return (draw < 9) ? new BlocksRemoved(server, incarnation, sequence, hashes)
				: new CacheSnapshot(server, incarnation, sequence, hashes);
	}

	private RouteRequest randomRequest() {
		Set<BackendServerId> excluded = new HashSet<>();
		for (int i = this.random.nextInt(4); i > 0; i--) {
			excluded.add(serverId(this.random.nextInt(SERVERS)));
		}
		Optional<SessionId> session = this.random.nextBoolean() ? Optional.empty()
				: Optional.of(new SessionId(AccountId.of("account"), "session-" + this.random.nextInt(20)));
		PromptChain chain = PromptChain.of(this.random.longs(5, 0, 30).toArray(), 64);
		PriorityClass priority = PriorityClass.values()[this.random.nextInt(PriorityClass.values().length)];
		return new RouteRequest(RequestId.of("request-" + this.step), priority, this.random.nextInt(2000), chain,
				session, excluded);
	}

	private void require(boolean condition, String violation) {
		if (!condition) {
			this.violations.add(violation + "@" + this.step);
		}
	}

	private static BackendServerId serverId(int index) {
		return BackendServerId.of("worker-" + index);
	}

	private static int serverIndex(BackendServerId server) {
		return Integer.parseInt(server.value().substring("worker-".length()));
	}

}

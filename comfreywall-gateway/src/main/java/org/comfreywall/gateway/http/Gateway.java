package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import org.comfreywall.common.metrics.LabelledHistograms;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.config.EngineShape;
import org.comfreywall.gateway.config.GatewayConfiguration;
import org.comfreywall.gateway.config.HttpLimits;
import org.comfreywall.gateway.config.ServiceSettings;
import org.comfreywall.gateway.config.WarmUp;
import org.comfreywall.gateway.poison.PoisonDetector;
import org.comfreywall.gateway.pool.GroupLoad;
import org.comfreywall.gateway.pool.GroupState;
import org.comfreywall.gateway.pool.PoolServer;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServicePool;
import org.comfreywall.gateway.pool.ServiceRetryBudget;
import org.comfreywall.gateway.pool.SlotDecision;
import org.comfreywall.gateway.pool.WarmUpLimit;
import org.comfreywall.transport.worker.RepeatedTask;

/**
 * The state that all requests of this entry share: configuration, server pools, retry
 * budgets and connections. Not thread-safe: used on one event loop only.
 */
public final class Gateway {

	/** A connection that was idle for less than this is almost always still open. */
	static final long FRESH_CONNECTION_NANOS = 150_000_000L;

	private static final Duration TICK = Duration.ofMillis(20);

	/** Shorter than the time after which a caller counts as stalled. */
	private static final Duration CALLER_CHECK_INTERVAL = Duration.ofMillis(250);

	/**
	 * Time without a tick after which this process counts as having been stopped, for
	 * instance by a freeze of its machine.
	 */
	private static final Duration MAX_TICK_DELAY = Duration.ofMillis(250);

	/**
	 * Time after such a stop in which requests may be read that callers sent during it,
	 * before the ends of their connections.
	 */
	private static final Duration CATCH_UP = Duration.ofMillis(250);

	/**
	 * The usual time until a process that has just started has a configuration: after a
	 * restart of the whole fleet a leader is elected within 1.4 s and then announced with
	 * the next updates.
	 */
	private static final Duration USUAL_CONFIGURATION_TIME = Duration.ofMillis(1500);

	/**
	 * The retry-after once that time has passed without a configuration, as then no
	 * majority is available.
	 */
	private static final Duration LATE_RETRY_AFTER = Duration.ofMillis(1000);

	private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(300);

	private final GatewaySettings settings;

	private final EventLoopGroup loop;

	private final RandomGenerator random;

	private final FleetView fleet;

	private final RequestLog log;

	private final ServerConnectionPool connections;

	private final Map<String, ServicePool> pools = new HashMap<>();

	private final Map<String, ServiceRetryBudget> retryBudgets = new HashMap<>();

	private final Map<String, ServiceProgress> progress = new HashMap<>();

	private final PoisonDetector poison;

	private final Map<Long, Exchange> waitingExchanges = new HashMap<>();

	private final CallerRegistry callers;

	private final BodyBudget bodies;

	private final CallerRetryDetector retryDetector = new CallerRetryDetector();

	private Optional<GatewayConfiguration> configuration = Optional.empty();

	private boolean workWeighed;

	/** Volatile, as the metrics are read on other threads. */
	private volatile Set<String> evacuatedDomains = Set.of();

	private final long started = System.nanoTime();

	private long ids;

	private final List<GatewayServer> servers = new CopyOnWriteArrayList<>();

	private boolean stopping;

	private boolean stopped;

	private OptionalLong end = OptionalLong.empty();

	private long tickedAt = System.nanoTime();

	private OptionalLong resumedAt = OptionalLong.empty();

	private long maxTickDelayNanos;

	/**
	 * Creates a gateway.
	 * @param settings the settings
	 * @param loop the event loop, with one thread, that all callbacks run on
	 * @param fleet the state of the fleet
	 * @param random the source of randomness
	 * @param metrics receives counters
	 */
	public Gateway(GatewaySettings settings, EventLoopGroup loop, FleetView fleet, RandomGenerator random,
			MetricRegistry metrics) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.loop = Preconditions.notNull(loop, "loop");
		this.fleet = Preconditions.notNull(fleet, "fleet");
		this.random = Preconditions.notNull(random, "random");
		this.log = new RequestLog(settings.names(), Preconditions.notNull(metrics, "metrics"));
		metrics.registerGauge("evacuated_domains", () -> this.evacuatedDomains.size());
		this.poison = new PoisonDetector(fleet::isAssigned);
		metrics.registerGauge("poison_convictions", this.poison::convictionCount);
		metrics.registerGauge("poison_evidence_unstored", this.poison::unstoredCount);
		ServerSignals signals = new ServerSignals(settings.names(), this.log, this::pool);
		this.connections = new ServerConnectionPool(loop, settings.names(), this.log, signals);
		this.bodies = new BodyBudget(settings.callers().maxBytes(), random);
		this.callers = new CallerRegistry(settings.callers(), this.bodies, this.log, this::isCatchingUp);
		RepeatedTask.schedule(loop.next(), TICK, "tick", this::tick);
		RepeatedTask.schedule(loop.next(), CALLER_CHECK_INTERVAL, "check-callers", this::checkCallers);
	}

	/**
	 * Applies a configuration unless the same or a newer version is in force.
	 * @param newer the configuration
	 * @return {@code true} if it was applied
	 */
	public boolean configure(GatewayConfiguration newer) {
		if (this.configuration.filter((present) -> present.version() >= newer.version()).isPresent()) {
			return false;
		}
		this.configuration = Optional.of(newer);
		newer.serviceNames().forEach((service) -> {
			limitPauses(newer, service);
			pool(service).coldServers()
				.limit(newer.findService(service).flatMap(ServiceSettings::warmUp).map(this::warmUpLimit),
						this.fleet::knownEntries);
			weighWork(newer, service);
		});
		return true;
	}

	/**
	 * Weighs the work of requests of known size from the next configuration or change of
	 * groups on, at services whose servers form several groups.
	 */
	public void enableWorkWeighing() {
		this.workWeighed = true;
	}

	// A service with one group is balanced by requests in flight, as before.
	private void weighWork(GatewayConfiguration present, String service) {
		ServicePool pool = pool(service);
		pool.work()
			.weigh(present.findService(service)
				.flatMap(ServiceSettings::prefill)
				.filter((shape) -> this.workWeighed && pool.hasSeveralGroups()));
	}

	private WarmUpLimit warmUpLimit(WarmUp warmUp) {
		return new WarmUpLimit(warmUp.duration(), warmUp.requestsPerSecond(), this.settings.coldExcess(),
				this.settings.coldSlack());
	}

	// Only the ranks of a group slow each other down.
	private void limitPauses(GatewayConfiguration newer, String service) {
		Optional<Duration> target = newer.maxPause(service);
		Optional<EngineShape> engine = newer.findService(service).flatMap(ServiceSettings::engine);
		if (target.isPresent() && engine.isPresent()) {
			pool(service).limitPauses(target.get(), engine.get().passBase());
		}
		else {
			pool(service).endPauseLimit();
		}
	}

	/**
	 * Adds or updates a backend server by its announcement.
	 * @param announcement the newest announcement
	 */
	public void updateServer(ServerAnnouncement announcement) {
		ServicePool pool = pool(announcement.service());
		long now = System.nanoTime();
		this.poison.recordCrash(announcement.address().toString(), announcement.startedMillis(), now);
		pool.updateServer(announcement, now);
		dispatchWaiting(pool);
	}

	/**
	 * Removes a backend server.
	 * @param announcement its last announcement
	 */
	public void removeServer(ServerAnnouncement announcement) {
		pool(announcement.service()).removeServer(announcement.server());
	}

	/**
	 * Updates the number of requests that another entry has in flight.
	 * @param entry the identifier of the other entry
	 * @param requests its requests by backend server
	 */
	public void updateInFlight(String entry, Map<String, Integer> requests) {
		this.pools.values().forEach((pool) -> {
			pool.updateInFlight(entry, requests, System.nanoTime());
			dispatchWaiting(pool);
		});
	}

	/**
	 * Updates the slowdown of backend servers that are ranks of a group.
	 * @param slowdowns the slowdown factor of each server, by address
	 */
	public void updateSlowdowns(Map<HostPort, Double> slowdowns) {
		this.pools.values().forEach((pool) -> pool.updateSlowdowns(slowdowns));
	}

	/**
	 * Sets the failure domains whose backend servers must not get requests. Requests that
	 * run there are not affected; queued ones go elsewhere or are refused.
	 * @param domains the evacuated failure domains
	 */
	public void updateEvacuations(Set<String> domains) {
		this.evacuatedDomains = Set.copyOf(domains);
		long now = System.nanoTime();
		List.copyOf(this.pools.values()).forEach((pool) -> {
			pool.updateEvacuations(this.evacuatedDomains, now);
			dispatchWaiting(pool);
		});
	}

	/**
	 * Updates the groups of ranks that backend servers belong to.
	 * @param groups the groups that the leader knows, of all services
	 */
	public void updateGroups(List<GroupState> groups) {
		long now = System.nanoTime();
		this.pools.forEach((service, pool) -> {
			pool.updateGroups(groups.stream().filter((group) -> group.service().equals(service)).toList(), now);
			this.configuration.ifPresent((present) -> weighWork(present, service));
			dispatchWaiting(pool);
		});
	}

	/**
	 * Returns the requests that this entry has in flight.
	 * @return the number of requests by backend server, without servers that have none
	 */
	public Map<String, Integer> inFlight() {
		Map<String, Integer> requests = new HashMap<>();
		for (ServicePool pool : this.pools.values()) {
			for (PoolServer server : pool.servers()) {
				if (server.inFlight() > 0) {
					requests.put(server.announcement().server(), server.inFlight());
				}
			}
		}
		return requests;
	}

	/**
	 * Returns the detector of requests that crash backend servers.
	 * @return the detector; used on the event loop only
	 */
	public PoisonDetector poison() {
		return this.poison;
	}

	/**
	 * Closes each connection after its next response.
	 */
	public void drainConnections() {
		this.stopping = true;
	}

	/**
	 * Closes each connection after its next response, as this process ends.
	 * @param left the time until it ends
	 */
	public void drainConnections(Duration left) {
		drainConnections();
		this.end = OptionalLong.of(System.nanoTime() + left.toNanos());
	}

	/**
	 * Answers all requests that have no response yet and breaks off the others, as this
	 * process ends.
	 */
	public void endRequests() {
		this.callers.connections().forEach(CallerConnection::endExchange);
	}

	/**
	 * Returns whether a request that is taken now might be cut by the end of this
	 * process. While connections are still accepted, callers have nowhere else to go.
	 * @param deadline the request's deadline in nanoseconds
	 * @return {@code true} if this process ends before the deadline
	 */
	boolean endsBefore(long deadline) {
		return this.stopped && this.end.isPresent() && this.end.getAsLong() - deadline < 0;
	}

	/**
	 * Stops accepting connections, closes idle ones and closes the others after their
	 * present response, as a later request might not complete before the process exits.
	 */
	public void stop() {
		drainConnections();
		this.stopped = true;
		this.servers.forEach(GatewayServer::close);
		this.callers.connections().stream().filter(CallerConnection::isIdle).forEach(CallerConnection::close);
	}

	/**
	 * Returns whether this process did not run for a while until just now, so that
	 * callers whose requests it reads may have left.
	 * @param now the current time in nanoseconds
	 * @return {@code true} during a short time after a pause
	 */
	public boolean isCatchingUp(long now) {
		boolean justResumed = now - this.tickedAt > MAX_TICK_DELAY.toNanos();
		return justResumed || (this.resumedAt.isPresent() && now - this.resumedAt.getAsLong() < CATCH_UP.toNanos());
	}

	void addServer(GatewayServer server) {
		this.servers.add(server);
	}

	/**
	 * Returns the number of open connections from callers.
	 * @return the count
	 */
	public int openConnections() {
		return this.callers.size();
	}

	/**
	 * Returns the latency histograms of requests by route.
	 * @return the histograms
	 */
	public LabelledHistograms latency() {
		return this.log.latency();
	}

	/**
	 * Returns the histograms of pauses between events by service and group.
	 * @return the histograms
	 */
	public LabelledHistograms groupPauses() {
		return this.log.groupPauses();
	}

	/**
	 * Returns the histograms of the time to the first event by service and size class.
	 * @return the histograms
	 */
	public LabelledHistograms firstEvents() {
		return this.log.firstEvents();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if there is none yet
	 */
	public Optional<GatewayConfiguration> configuration() {
		return this.configuration;
	}

	BodyBudget bodies() {
		return this.bodies;
	}

	CallerRetryDetector retryDetector() {
		return this.retryDetector;
	}

	/**
	 * Returns the retry-after for a request that arrives before this process has a
	 * configuration, with random jitter.
	 * @return the time until a process that has just started usually has one
	 */
	Duration configurationRetryAfter() {
		long age = System.nanoTime() - this.started;
		double jitter = 0.9 + 0.3 * this.random.nextDouble();
		long wait = (age < USUAL_CONFIGURATION_TIME.toNanos())
				? USUAL_CONFIGURATION_TIME.toNanos() - age + MIN_RETRY_AFTER.toNanos() : LATE_RETRY_AFTER.toNanos();
		return Duration.ofNanos((long) (wait * jitter));
	}

	HttpLimits limits() {
		return this.configuration.map(GatewayConfiguration::limits).orElse(HttpLimits.DEFAULT);
	}

	HeaderNames names() {
		return this.settings.names();
	}

	RandomGenerator random() {
		return this.random;
	}

	RequestLog log() {
		return this.log;
	}

	ServerConnectionPool connections() {
		return this.connections;
	}

	EventLoopGroup loop() {
		return this.loop;
	}

	int entries() {
		return this.fleet.entries();
	}

	boolean isCurrent() {
		return this.fleet.isCurrent();
	}

	boolean isStopping() {
		return this.stopping;
	}

	long nextId() {
		return ++this.ids;
	}

	ServicePool pool(String service) {
		return this.pools.computeIfAbsent(service, (name) -> {
			ServicePool pool = new ServicePool(this.settings.domain(), this.random);
			pool.updateEvacuations(this.evacuatedDomains, System.nanoTime());
			return pool;
		});
	}

	ServiceRetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (name) -> new ServiceRetryBudget(this.settings.retryRatio(),
				this.settings.retrySlack(), this.settings.retryWindow()));
	}

	ServiceProgress progress(String service) {
		return this.progress.computeIfAbsent(service, (name) -> new ServiceProgress());
	}

	void addWaiting(long request, Exchange exchange) {
		this.waitingExchanges.put(request, exchange);
	}

	void removeWaiting(long request) {
		this.waitingExchanges.remove(request);
	}

	void dispatchWaiting(ServicePool pool) {
		if (pool.queueLength() > 0) {
			for (SlotDecision decision : pool.processQueue(System.nanoTime())) {
				Optional.ofNullable(this.waitingExchanges.get(decision.request()))
					.ifPresent((exchange) -> exchange.handleDecision(decision));
			}
		}
	}

	CallerRegistry callers() {
		return this.callers;
	}

	private void checkCallers() {
		this.callers.check();
		this.log.writeSums(System.nanoTime());
	}

	/**
	 * Returns how busy this entry is, and starts the next measurement of delays.
	 * @return the load
	 */
	public GatewayLoad takeLoad() {
		int queued = 0;
		int inFlight = 0;
		int free = 0;
		for (ServicePool pool : this.pools.values()) {
			queued += pool.queueLength();
			inFlight += pool.servers().stream().mapToInt(PoolServer::inFlight).sum();
			free += pool.freeSlots(System.nanoTime());
		}
		Map<String, List<GroupLoad>> groups = new HashMap<>();
		this.pools.forEach((service, pool) -> {
			List<GroupLoad> loads = pool.groupLoads(System.nanoTime());
			if (!loads.isEmpty()) {
				groups.put(service, loads);
			}
		});
		Duration delay = Duration.ofNanos(this.maxTickDelayNanos);
		this.maxTickDelayNanos = 0;
		return new GatewayLoad(queued, inFlight, free, groups, delay);
	}

	private void tick() {
		long now = System.nanoTime();
		long delay = now - this.tickedAt - TICK.toNanos();
		this.maxTickDelayNanos = Math.max(this.maxTickDelayNanos, delay);
		if (delay > MAX_TICK_DELAY.toNanos()) {
			this.resumedAt = OptionalLong.of(now);
		}
		this.tickedAt = now;
		List.copyOf(this.pools.values()).forEach((pool) -> {
			dispatchWaiting(pool);
			pool.coldServers().takeChanges(now).forEach(this.log::coldChanged);
			pool.coldServers().takeHeldBack().forEach(this.log::heldBack);
		});
	}

}

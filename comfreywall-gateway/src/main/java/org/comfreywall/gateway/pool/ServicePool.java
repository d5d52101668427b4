package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;

/**
 * Load balancing and admission control for the requests of one service, at one of several
 * entries that share its backend servers.
 * <p>
 * The servers may form several groups of ranks in lock-step. A request gets a free slot
 * of a server if there is one: first a group is selected ({@link GroupSelector}), then a
 * server in it ({@link ServerSelector}). A group in an outage gets none, and requests are
 * refused for an outage only if all groups have one.
 * <p>
 * Otherwise it is queued by priority and arrival if a slot is expected before its latest
 * start, or else rejected immediately with the expected delay. Under overload, requests
 * that can still be on time precede those that were rejected before: serving one of the
 * latter first would only make another request late.
 * <p>
 * Not thread-safe.
 */
public final class ServicePool {

	private static final EventLog LOG = EventLog.of(ServicePool.class);

	/**
	 * Requests are queued if an ejected server is usable again within this time, and
	 * rejected otherwise.
	 */
	private static final long SHORT_PAUSE_NANOS = 300_000_000L;

	/**
	 * Time after which the counts received from another entry expire. Entries send them
	 * every 200 ms, so four in a row are lost by then.
	 */
	private static final long COUNTS_VALIDITY_NANOS = 900_000_000L;

	/**
	 * Share of the time that a request can lose and still be on time, which it may spend
	 * in the queue of a group whose requests are limited. A longer queue serves no more
	 * requests, but each of them later.
	 */
	private static final double MAX_SLACK_SHARE = 0.5;

	private final ServerSelector selector;

	private final GroupSelector groupSelector;

	private final Refusals refusals;

	private final ServerRestrictions restrictions;

	private final Map<String, PoolServer> servers = new HashMap<>();

	private final ServiceGroups groups;

	private final Map<String, Long> countsReceivedAt = new HashMap<>();

	private final WaitingQueue queue = new WaitingQueue();

	private final ArrivalRate arrivals = new ArrivalRate();

	private final ColdServers coldServers = new ColdServers(this::servers);

	private Set<String> evacuatedDomains = Set.of();

	private final ServiceWork work = new ServiceWork();

	/**
	 * Creates a pool without servers.
	 * @param domain this entry's failure domain
	 * @param random the source of samples of servers and of jitter in retry delays
	 */
	public ServicePool(String domain, RandomGenerator random) {
		this.selector = new ServerSelector(domain, random);
		this.groupSelector = new GroupSelector(random);
		this.groups = new ServiceGroups(this.servers.values(), random);
		this.refusals = new Refusals(random);
		this.restrictions = new ServerRestrictions(random);
	}

	/**
	 * Applies a server's announcement. A new incarnation replaces the server's state.
	 * @param announcement the latest announcement
	 * @param now the current time in nanoseconds
	 */
	public void updateServer(ServerAnnouncement announcement, long now) {
		removePredecessors(announcement, now);
		PoolServer known = this.servers.get(announcement.server());
		boolean sameIncarnation = known != null && known.announcement().startedMillis() == announcement.startedMillis();
		if (announcement.state() == ServerState.GONE) {
			removeServer(announcement.server());
		}
		else if (sameIncarnation) {
			known.updateAnnouncement(announcement);
			this.coldServers.recordAnnounced(known, now);
			known.updateEvacuated(isEvacuated(announcement));
		}
		else {
			PoolServer added = new PoolServer(announcement, now);
			if (this.restrictions.hasLeft(announcement)) {
				added.recordLeaving();
			}
			this.restrictions.findRest(announcement).ifPresent(added::recordRest);
			this.coldServers.recordAdded(added, now);
			added.updateEvacuated(isEvacuated(announcement));
			this.servers.put(announcement.server(), added);
			this.groups.assign();
		}
	}

	private void removePredecessors(ServerAnnouncement announcement, long now) {
		List<PoolServer> predecessors = this.servers.values()
			.stream()
			.filter((other) -> other.announcement().address().equals(announcement.address())
					&& other.announcement().startedMillis() < announcement.startedMillis())
			.toList();
		predecessors.forEach((ended) -> {
			this.servers.values().remove(ended);
			ended.group().recordRestart(now);
		});
	}

	/**
	 * Sets the failure domains whose servers must not get requests. Requests that run
	 * there are not affected. Servers whose evacuation ends with this call count as
	 * possibly cold. The queue must be processed afterwards.
	 * @param domains the evacuated failure domains
	 * @param now the current time in nanoseconds
	 * @return the failure domains whose evacuation has ended with this call
	 */
	public Set<String> updateEvacuations(Set<String> domains, long now) {
		Set<String> withdrawn = new HashSet<>(this.evacuatedDomains);
		withdrawn.removeAll(domains);
		this.evacuatedDomains = Set.copyOf(domains);
		this.servers.values().forEach((server) -> server.updateEvacuated(isEvacuated(server.announcement())));
		recordPossiblyCold(withdrawn, now);
		return withdrawn;
	}

	private boolean isEvacuated(ServerAnnouncement server) {
		return this.evacuatedDomains.contains(server.domain());
	}

	/**
	 * Applies what the leader knows of the groups of this service. Servers that are in
	 * none of them stay in the group that they were in; requests in flight move with
	 * their server.
	 * @param states the groups
	 * @param now the current time in nanoseconds
	 */
	public void updateGroups(List<GroupState> states, long now) {
		this.groups.update(states, now);
	}

	/**
	 * Returns whether the servers belong to several groups of ranks, as far as is known.
	 * @return {@code false} if they form one group, or if no group is known
	 */
	public boolean hasSeveralGroups() {
		return this.groups.all().size() > 1;
	}

	/**
	 * Limits the requests in flight on each group such that the pauses between the events
	 * of its streams stay within a target. Setting the same target again has no effect.
	 * @param target the longest pause that callers accept
	 * @param base the duration of a forward pass without any request
	 */
	public void limitPauses(Duration target, Duration base) {
		this.groups.limitPauses(target, base);
	}

	/**
	 * Ends the limit by pauses, if there is one.
	 */
	public void endPauseLimit() {
		this.groups.endPauseLimit();
	}

	/**
	 * Returns the work of requests of known size.
	 * @return the work on the servers of this pool
	 */
	public ServiceWork work() {
		return this.work;
	}

	/**
	 * Records a pause between two events of a stream.
	 * @param server the server that sends the stream
	 * @param nanos the pause in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void recordPause(PoolServer server, long nanos, long now) {
		server.group().recordPause(nanos, now);
	}

	/**
	 * Returns how long a request may be queued. While the requests in flight on all
	 * groups are limited, one that can no longer be on time would only make another one
	 * late, so it is rejected.
	 * @param objective the latency objective of the request, in nanoseconds
	 * @param longest the longest wait without a limit, in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return the longest wait in nanoseconds
	 */
	public long longestWait(long objective, long longest, long now) {
		List<ServerGroup> open = openGroups(now);
		List<ServerGroup> awaited = open.isEmpty() ? servingGroups(now) : open;
		if (!awaited.stream().allMatch((group) -> isFull(group, now))) {
			return longest;
		}
		double firstPart = awaited.stream().mapToDouble(ServerGroup::firstPartNanos).min().orElseThrow();
		return Math.min(longest, (long) Math.max(0, MAX_SLACK_SHARE * (objective - firstPart)));
	}

	/**
	 * Returns the load of each group.
	 * @param now the current time in nanoseconds
	 * @return the loads; empty if pauses are not limited and there is only one group
	 */
	public List<GroupLoad> groupLoads(long now) {
		List<ServerGroup> all = this.groups.all();
		boolean relevant = this.groups.hasPauseLimit() || all.size() > 1;
		return relevant ? all.stream().map((group) -> group.load(now)).toList() : List.of();
	}

	/**
	 * Removes a server.
	 * @param server the server's identifier
	 */
	public void removeServer(String server) {
		this.servers.remove(server);
	}

	/**
	 * Records that a server said in a response that it leaves. It gets no request from
	 * now on, whatever that incarnation announces, also after its removal.
	 * @param server an announcement of the incarnation
	 * @return {@code true} if this was not known
	 */
	public boolean recordLeaving(ServerAnnouncement server) {
		boolean added = this.restrictions.recordLeaving(server);
		if (added) {
			findIncarnation(server).ifPresent(PoolServer::recordLeaving);
		}
		return added;
	}

	/**
	 * Records that a server asked for a time without requests. The end is delayed at
	 * random, so that the entries do not return to the server together. A new incarnation
	 * ends it, removal does not.
	 * @param server an announcement of the incarnation
	 * @param time the time that the server asked for; cut to five minutes
	 * @param now the current time in nanoseconds
	 * @return the time until the server gets requests again; empty if it rests as long
	 * already, or if it is an earlier incarnation
	 */
	public Optional<Duration> recordRest(ServerAnnouncement server, Duration time, long now) {
		Optional<ServerRest> rest = this.restrictions.recordRest(server, time, now);
		rest.ifPresent((added) -> findIncarnation(server).ifPresent((present) -> present.recordRest(added)));
		return rest.map((added) -> Duration.ofNanos(added.resumesAt() - now));
	}

	/**
	 * Returns how long callers are to stay away because all servers rest.
	 * @param now the current time in nanoseconds
	 * @return the shortest time left, with random jitter on top; empty if a server does
	 * not rest, or if none accepts requests
	 */
	public Optional<Duration> retryAfterRest(long now) {
		List<PoolServer> accepting = acceptingServers();
		if (accepting.isEmpty() || !accepting.stream().allMatch((server) -> server.isResting(now))) {
			return Optional.empty();
		}
		return Optional.of(this.refusals.retryAfterRest(nanosUntilUsable(now)));
	}

	private Optional<PoolServer> findIncarnation(ServerAnnouncement server) {
		return Optional.ofNullable(this.servers.get(server.server()))
			.filter((known) -> known.announcement().startedMillis() == server.startedMillis());
	}

	/**
	 * Returns whether a request that got a slot may still be sent.
	 * @param server the server that it is to be sent to
	 * @param now the current time in nanoseconds
	 * @return {@code false} if the server has said since that it leaves or rests, or its
	 * failure domain is evacuated since
	 */
	public boolean canStart(PoolServer server, long now) {
		return !this.restrictions.hasLeft(server.announcement()) && !isEvacuated(server.announcement())
				&& this.restrictions.findRest(server.announcement()).filter((rest) -> !rest.isOver(now)).isEmpty();
	}

	/**
	 * Returns the warm-up of the servers.
	 * @return the cold servers and their limit
	 */
	public ColdServers coldServers() {
		return this.coldServers;
	}

	/**
	 * Records that the evacuation of failure domains was withdrawn. Their servers may
	 * have turned cold unnoticed, so they count as cold for the usual time, or until an
	 * announcement that is received at least 1 s later says that they are warm.
	 * @param domains the failure domains
	 * @param now the current time in nanoseconds
	 */
	public void recordPossiblyCold(Set<String> domains, long now) {
		this.coldServers.recordPossiblyCold(domains, now);
	}

	/**
	 * Decides right before a request is sent whether it may still be sent, and counts it
	 * if the server is cold.
	 * @param server the server that it is to be sent to
	 * @param now the current time in nanoseconds
	 * @return {@code false} as for {@link #canStart}, or if the server is cold and gets
	 * no request of this entry now
	 */
	public boolean tryStart(PoolServer server, long now) {
		return canStart(server, now) && this.coldServers.tryStart(server, now);
	}

	/**
	 * Finds the latest incarnation at an address.
	 * @param address the address
	 * @return its announcement, or empty if no server of the pool has that address
	 */
	public Optional<ServerAnnouncement> findAt(HostPort address) {
		return this.servers.values()
			.stream()
			.map(PoolServer::announcement)
			.filter((server) -> server.address().equals(address))
			.max(Comparator.comparingLong(ServerAnnouncement::startedMillis));
	}

	/**
	 * Records the requests that another entry has in flight.
	 * @param entry the entry's identifier
	 * @param requests the number of requests by server; servers that are missing have
	 * none
	 * @param now the current time in nanoseconds
	 */
	public void updateInFlight(String entry, Map<String, Integer> requests, long now) {
		this.countsReceivedAt.put(entry, now);
		this.work.recordEntries(this.countsReceivedAt.size() + 1, now);
		this.servers.forEach((id, server) -> {
			int more = server.updateInFlight(entry, requests.getOrDefault(id, 0));
			this.work.recordSentByOthers(server, more, now);
		});
	}

	/**
	 * Records which servers are slow ranks of a group.
	 * @param slowdowns the factor by which each takes longer than usual, by address;
	 * servers that are missing are healthy
	 */
	public void updateSlowdowns(Map<HostPort, Double> slowdowns) {
		this.servers.values()
			.forEach((server) -> server.updateSlowdown(slowdowns.getOrDefault(server.announcement().address(), 1.0)));
	}

	// The requests of a crashed entry ended with it; its counts must not occupy slots.
	private void expireCounts(long now) {
		this.countsReceivedAt.entrySet().removeIf((entry) -> {
			boolean expired = now - entry.getValue() > COUNTS_VALIDITY_NANOS;
			if (expired) {
				this.servers.values().forEach((server) -> server.updateInFlight(entry.getKey(), 0));
			}
			return expired;
		});
	}

	/**
	 * Decides whether a request is sent, queued or rejected.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the decision
	 */
	public SlotDecision offer(WaitingRequest request, long now) {
		this.arrivals.recordArrival(now);
		this.work.recordArrival(request);
		this.work.recordEntries(this.countsReceivedAt.size() + 1, now);
		Optional<String> excess = this.work.findExcess(request, now);
		if (excess.isPresent()) {
			return this.refusals.withoutSlot(request, excess.get(), Refusals.MAX_RETRY_AFTER_NANOS);
		}
		if (openGroups(now).isEmpty() && !isWhollyEvacuated()) {
			if (!canAwaitGroup(request, now)) {
				return refuseUntilGroupServes(request, now);
			}
			this.queue.add(request);
			return new SlotPending(request.id());
		}
		Optional<PoolServer> free = this.queue.hasRequestBefore(request, (other) -> !this.work.mayAwaitMemory(other))
				? Optional.empty() : selectServer(request, now);
		if (free.isPresent()) {
			return grant(request, free.get(), now);
		}
		List<PoolServer> heldBack = serversWithFreeSlot(request.excluded(), now);
		this.coldServers.recordHeldBack(heldBack, now);
		if (usableServers(now + SHORT_PAUSE_NANOS).isEmpty() || !canAwaitServer(request, now)) {
			return refuseWithoutServer(request, now);
		}
		long coldNanos = this.coldServers.nanosUntilAllowance(heldBack, this.queue.requestsBefore(request), now);
		double waitNanos = Math.max(this.queue.expectedWaitNanos(request, now),
				Math.max(nanosUntilRestEnds(now), coldNanos));
		if (now + waitNanos > request.latestStart() || this.queue.isFull()) {
			return this.refusals.withoutSlot(request, "no-place-in-time", (long) waitNanos);
		}
		this.queue.add(request);
		return new SlotPending(request.id());
	}

	/**
	 * Releases the slot of a request that was sent.
	 * @param server the server that it was sent to
	 * @param result the outcome of the attempt
	 * @param nanos the time until the first part of the response, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void release(PoolServer server, AttemptResult result, long nanos, long now) {
		server.recordResult(result, nanos, now);
		this.coldServers.recordReleased(server, result);
		if (result == AttemptResult.ANSWERED) {
			server.group()
				.recordAnswer(nanos, now)
				.ifPresent((outage) -> LOG.info("group-opened", Field.of("service", server.announcement().service()),
						Field.of("group", server.groupName()), Field.of("source", "answer"),
						Field.of("server", server.announcement().server()), Field.of("ms", outage.toMillis())));
		}
		if (result == AttemptResult.ANSWERED || result == AttemptResult.FAILED) {
			this.queue.recordCompletion(now);
		}
	}

	/**
	 * Releases the slot of a request that was sent, and its work.
	 * @param server the server that it was sent to
	 * @param request the request's identifier at this entry
	 * @param result the outcome of the attempt
	 * @param nanos the time until the first part of the response, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void release(PoolServer server, long request, AttemptResult result, long nanos, long now) {
		server.work().remove(request);
		release(server, result, nanos, now);
	}

	/**
	 * Finds another server of the pool by name.
	 * @param server the server to exclude
	 * @param name an identifier or address; may be empty
	 * @return the announcement of another server with that identifier or address
	 */
	public Optional<ServerAnnouncement> findOtherServer(PoolServer server, String name) {
		return this.servers.values()
			.stream()
			.filter((other) -> other != server)
			.map(PoolServer::announcement)
			.filter((other) -> other.server().equals(name) || other.address().toString().equals(name))
			.findFirst();
	}

	/**
	 * Records that a server rejected a request because of a fault of another server in
	 * its group. None of the group's servers runs any request until the group has formed
	 * again.
	 * @param server the server that rejected the request
	 * @param now the current time in nanoseconds
	 */
	public void recordGroupFault(PoolServer server, long now) {
		if (server.group().recordFault(now)) {
			LOG.info("group-closed", Field.of("service", server.announcement().service()),
					Field.of("group", server.groupName()), Field.of("source", "rejection"),
					Field.of("server", server.announcement().server()));
		}
	}

	/**
	 * Records a fault in all groups.
	 * @param now the current time in nanoseconds
	 */
	void recordGroupFault(long now) {
		this.groups.all().forEach((group) -> group.recordFault(now));
	}

	/**
	 * Removes a request from the queue.
	 * @param request the request's identifier at this entry
	 */
	public void cancelWaiting(long request) {
		this.queue.cancel(request);
	}

	/**
	 * Re-evaluates the queued requests. Must be called after a slot was released, after
	 * an update of a server and every few milliseconds.
	 * @param now the current time in nanoseconds
	 * @return the requests to send and those rejected; requests that remain queued are
	 * not contained
	 */
	public List<SlotDecision> processQueue(long now) {
		if (openGroups(now).isEmpty() && !isWhollyEvacuated()) {
			return this.queue.refuseIf((request) -> !canAwaitGroup(request, now),
					(request) -> refuseUntilGroupServes(request, now));
		}
		List<SlotDecision> decisions = new ArrayList<>(refuseHopeless(now));
		decisions.addAll(this.queue.refuseLate(now, (request) -> this.refusals.withoutSlot(request, "waited-in-vain",
				(long) this.queue.expectedWaitNanos(request, now))));
		decisions.addAll(this.queue.grantWhile(
				(request) -> selectServer(request, now).map((server) -> grant(request, server, now)),
				this.work::mayAwaitMemory));
		return decisions;
	}

	private List<SlotDecision> refuseHopeless(long now) {
		boolean available = this.servers.values().stream().anyMatch((server) -> isAvailableSoon(server, now));
		return this.queue.refuseIf((request) -> {
			boolean awaits = available && request.excluded().isEmpty();
			return !awaits && !canAwaitServer(request, now);
		}, (request) -> refuseWithoutServer(request, now));
	}

	/**
	 * Returns the number of queued requests.
	 * @return the count
	 */
	public int queueLength() {
		return this.queue.length();
	}

	/**
	 * Returns the number of free slots of the servers that take requests.
	 * @param now the current time in nanoseconds
	 * @return the count
	 */
	public int freeSlots(long now) {
		return usableServers(now).stream()
			.filter((server) -> this.coldServers.hasAllowance(server, now))
			.mapToInt((server) -> server.freeSlots(now))
			.sum();
	}

	/**
	 * Returns the servers, including those that are leaving.
	 * @return the servers
	 */
	public Collection<PoolServer> servers() {
		return this.servers.values();
	}

	private SlotDecision grant(WaitingRequest request, PoolServer server, long now) {
		server.recordSent();
		this.coldServers.recordGranted(server, now);
		server.group().recordSent(now);
		this.work.recordSent(server, request, now);
		return new SlotGranted(request.id(), server);
	}

	private Optional<PoolServer> selectServer(WaitingRequest request, long now) {
		expireCounts(now);
		List<ServerGroup> candidates = new ArrayList<>();
		List<List<PoolServer>> free = new ArrayList<>();
		for (ServerGroup group : openGroups(now)) {
			List<PoolServer> servers = isFull(group, now) ? List.of() : group.freeServers(request.excluded(), now)
				.stream()
				.filter((server) -> this.coldServers.hasAllowance(server, now) && this.work.fits(server, request, now))
				.toList();
			if (!servers.isEmpty()) {
				candidates.add(group);
				free.add(servers);
			}
		}
		double othersPerSecond = this.arrivals.perSecond(now) * this.countsReceivedAt.size();
		return this.groupSelector
			.select(candidates.stream().map((group) -> group.candidate(now)).toList(), othersPerSecond)
			.flatMap((choice) -> this.work.select(this.selector, free.get(choice.index()), request,
					choice.share() * othersPerSecond, now));
	}

	private boolean isFull(ServerGroup group, long now) {
		return group.isLimitReached(now)
				|| (hasSeveralGroups() && group.isQuotaUsed(this.countsReceivedAt.size() + 1, now));
	}

	// A group without any usable server does not serve, whether it is open or not.
	private List<ServerGroup> servingGroups(long now) {
		List<ServerGroup> all = this.groups.all();
		if (all.size() == 1) {
			return all;
		}
		List<ServerGroup> usable = all.stream()
			.filter((group) -> group.hasUsableServer(now + SHORT_PAUSE_NANOS))
			.toList();
		if (!usable.isEmpty()) {
			return usable;
		}
		List<ServerGroup> accepting = all.stream().filter(ServerGroup::hasAcceptingServer).toList();
		return accepting.isEmpty() ? all : accepting;
	}

	private List<PoolServer> serversWithFreeSlot(Set<String> excluded, long now) {
		return openGroups(now).stream().flatMap((group) -> group.freeServers(excluded, now).stream()).toList();
	}

	// A report may be out of date, so it only decides between groups: if all are reported
	// as closed, their servers are asked.
	private List<ServerGroup> openGroups(long now) {
		List<ServerGroup> open = servingGroups(now).stream().filter((group) -> !group.isClosed(now)).toList();
		List<ServerGroup> preferred = open.stream().filter((group) -> !group.isAvoided(now)).toList();
		return preferred.isEmpty() ? open : preferred;
	}

	private List<PoolServer> usableServers(long now) {
		return this.servers.values().stream().filter((server) -> server.isUsable(now)).toList();
	}

	/**
	 * Returns whether another server than the given one accepts requests.
	 * @param server the server
	 * @return {@code false} if it is the only one
	 */
	public boolean hasOtherServer(PoolServer server) {
		return acceptingServers().stream().anyMatch((other) -> other != server);
	}

	private List<PoolServer> acceptingServers() {
		return this.servers.values().stream().filter(PoolServer::acceptsRequests).toList();
	}

	private static boolean isAvailableSoon(PoolServer server, long now) {
		return server.acceptsRequests() && !server.isResting(now + SHORT_PAUSE_NANOS);
	}

	// A request without any other server than the excluded ones waits for a new one.
	private boolean canAwaitServer(WaitingRequest request, long now) {
		List<PoolServer> accepting = acceptingServers();
		List<PoolServer> allowed = accepting.stream()
			.filter((server) -> !request.excluded().contains(server.announcement().server()))
			.toList();
		List<PoolServer> awaited = allowed.isEmpty() ? accepting : allowed;
		return this.servers.isEmpty() || awaited.stream().anyMatch((server) -> isAvailableSoon(server, now));
	}

	private long nanosUntilRestEnds(long now) {
		List<PoolServer> accepting = acceptingServers();
		boolean resting = accepting.stream().allMatch((server) -> server.isResting(now));
		return resting ? nanosUntilUsable(now) : 0;
	}

	private long nanosUntilUsable(long now) {
		return this.servers.values()
			.stream()
			.filter(PoolServer::acceptsRequests)
			.mapToLong((server) -> server.usableAt() - now)
			.min()
			.orElse(Refusals.UNKNOWN_WAIT_NANOS);
	}

	private boolean canAwaitGroup(WaitingRequest request, long now) {
		OptionalLong opensAt = servingGroups(now).stream().flatMapToLong((group) -> group.opensAt(now).stream()).min();
		return opensAt.isPresent() && opensAt.getAsLong() <= request.latestStart() && !this.queue.isFull();
	}

	private SlotRefused refuseUntilGroupServes(WaitingRequest request, long now) {
		long nanos = this.groups.all()
			.stream()
			.flatMapToLong((group) -> group.expectedNanos(now).stream())
			.min()
			.orElseGet(() -> this.groups.all()
				.stream()
				.mapToLong((group) -> group.expectedOutageNanos(now))
				.min()
				.orElseThrow());
		return this.refusals.untilGroupServes(request, nanos);
	}

	// The end of an outage would not help the requests of a service whose servers are all
	// evacuated.
	private boolean isWhollyEvacuated() {
		return acceptingServers().isEmpty() && this.servers.values().stream().anyMatch(PoolServer::isOnlyEvacuated);
	}

	private SlotRefused refuseWithoutServer(WaitingRequest request, long now) {
		if (isWhollyEvacuated()) {
			return this.refusals.whileEvacuated(request);
		}
		boolean resting = acceptingServers().stream().anyMatch((server) -> server.isResting(now));
		String reason = resting ? "servers-resting" : "no-server";
		return retryAfterRest(now).map((time) -> new SlotRefused(request.id(), reason, time))
			.orElseGet(() -> this.refusals.withoutSlot(request, reason, nanosUntilUsable(now)));
	}

}

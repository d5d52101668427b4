package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Limits the requests to the cold servers of one service. Without a limit, cold servers
 * are served as any other. Not thread-safe.
 */
public final class ColdServers {

	/**
	 * Time without any decision after which this process counts as having been stopped; a
	 * running one decides or is asked for changes every 20 ms.
	 */
	private static final long MIN_STOP_NANOS = 1_000_000_000L;

	private final Supplier<Collection<PoolServer>> servers;

	private Optional<WarmUpLimit> limit = Optional.empty();

	private boolean active;

	private long activeAt;

	private Supplier<Optional<KnownEntries>> entries = Optional::empty;

	private final Map<String, Long> possiblyColdSince = new HashMap<>();

	private Map<WarmUpDecision, Integer> heldBack = new EnumMap<>(WarmUpDecision.class);

	/**
	 * Creates the state without a limit.
	 * @param servers returns the servers of the service
	 */
	ColdServers(Supplier<Collection<PoolServer>> servers) {
		this.servers = servers;
	}

	/**
	 * Limits the requests to cold servers.
	 * @param newer the bound for all entries; empty to treat cold servers as any other
	 * @param known returns the entries that share the servers, or empty while they are
	 * not known
	 */
	public void limit(Optional<WarmUpLimit> newer, Supplier<Optional<KnownEntries>> known) {
		this.limit = newer;
		this.entries = known;
	}

	/**
	 * Records that a server said in a response that it is cold. Only announcements end
	 * the time early, as the response may be late.
	 * @param server an announcement of the incarnation; an earlier one has no effect
	 * @param left the time that it stays cold; cut to five minutes
	 * @param now the current time in nanoseconds
	 */
	public void recordCold(ServerAnnouncement server, Duration left, long now) {
		this.servers.get()
			.stream()
			.filter((known) -> known.announcement().server().equals(server.server())
					&& known.announcement().startedMillis() == server.startedMillis())
			.forEach((known) -> known.warmUp().recordCold(left, now, now));
	}

	/**
	 * Records that a request reached another incarnation than the one that it was sent
	 * to. It does not count as a request to a cold server.
	 * @param server the server that it was sent to
	 * @param startedAt the time given to {@link ServicePool#tryStart}
	 */
	public void recordMisdirected(PoolServer server, long startedAt) {
		server.warmUp().allowance().returnToken(startedAt);
	}

	void recordAnnounced(PoolServer server, long now) {
		server.announcement().cold().ifPresent((report) -> server.warmUp().recordAnnounced(report, now));
	}

	void recordAdded(PoolServer server, long now) {
		recordAnnounced(server, now);
		Long since = this.possiblyColdSince.get(server.announcement().domain());
		if (since != null) {
			this.limit.ifPresent((present) -> server.warmUp().recordCold(present.duration(), since, now));
		}
	}

	void recordPossiblyCold(Set<String> domains, long now) {
		domains.forEach((domain) -> this.possiblyColdSince.put(domain, now));
		this.limit.ifPresent((present) -> this.servers.get()
			.stream()
			.filter((server) -> domains.contains(server.announcement().domain()))
			.forEach((server) -> server.warmUp().recordCold(present.duration(), now, now)));
	}

	// If this process was stopped for a while, by a pause of its machine for instance,
	// all servers may have turned cold without its notice.
	private void recordActive(long now) {
		boolean stopped = this.active && now - this.activeAt >= MIN_STOP_NANOS;
		this.active = true;
		this.activeAt = now;
		if (stopped) {
			this.limit.ifPresent((present) -> this.servers.get()
				.forEach((server) -> server.warmUp().recordCold(present.duration(), now, now)));
		}
	}

	/**
	 * Returns whether a request may be granted on a server.
	 * @param server the server
	 * @param now the current time in nanoseconds
	 * @return {@code true} if the server is warm, or if this entry may send a request to
	 * it now
	 */
	boolean hasAllowance(PoolServer server, long now) {
		return decide(server, now) == WarmUpDecision.ALLOWED;
	}

	private WarmUpDecision decide(PoolServer server, long now) {
		if (!isLimited(server, now)) {
			return WarmUpDecision.ALLOWED;
		}
		return server.warmUp().allowance().decide(this.limit.get(), this.entries.get(), now);
	}

	private boolean isLimited(PoolServer server, long now) {
		recordActive(now);
		return this.limit.isPresent() && server.warmUp().isCold(now);
	}

	void recordGranted(PoolServer server, long now) {
		if (isLimited(server, now)) {
			server.warmUp().allowance().reserve(now);
		}
	}

	void recordReleased(PoolServer server, AttemptResult result) {
		if (result == AttemptResult.CANCELLED || result == AttemptResult.BROKEN) {
			server.warmUp().allowance().cancelReservation();
		}
	}

	boolean tryStart(PoolServer server, long now) {
		return !isLimited(server, now)
				|| server.warmUp().allowance().tryStart(this.limit.get(), this.entries.get(), now);
	}

	/**
	 * Returns the time that a request waits for an allowance, because all servers that
	 * have a free slot for it are cold.
	 * @param free the servers that have a free slot for it
	 * @param ahead the number of requests that precede it
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds; 0 if no server has a free slot, or if one is warm
	 */
	long nanosUntilAllowance(List<PoolServer> free, long ahead, long now) {
		if (free.isEmpty() || !free.stream().allMatch((server) -> isLimited(server, now))) {
			return 0;
		}
		long warm = free.stream().mapToLong((server) -> server.warmUp().nanosLeft(now)).min().getAsLong();
		Optional<KnownEntries> known = this.entries.get();
		List<WarmUpAllowance> selected = free.stream()
			.map((server) -> server.warmUp().allowance())
			.filter((each) -> known.isPresent() && each.isSelected(this.limit.get(), known.get()))
			.toList();
		if (selected.isEmpty()) {
			return warm;
		}
		double first = selected.stream()
			.mapToDouble((each) -> each.nanosUntilStart(this.limit.get(), known.get(), now))
			.min()
			.getAsDouble();
		double interval = this.limit.get().intervalNanos(known.get().all().size()) / selected.size();
		return (long) Math.min(warm, Math.max(0, first) + ahead * interval);
	}

	/**
	 * Counts a request that is queued or refused although servers have a free slot for
	 * it, by the reason of one of them. It does not count if one could take it.
	 * @param free the servers that have a free slot for it
	 * @param now the current time in nanoseconds
	 */
	void recordHeldBack(List<PoolServer> free, long now) {
		free.stream()
			.map((server) -> decide(server, now))
			.min(WarmUpDecision::compareTo)
			.filter((decision) -> decision != WarmUpDecision.ALLOWED)
			.ifPresent((decision) -> this.heldBack.merge(decision, 1, Integer::sum));
	}

	/**
	 * Returns the number of requests that were queued or refused since the last call
	 * because of cold servers.
	 * @return the numbers by reason
	 */
	public Map<WarmUpDecision, Integer> takeHeldBack() {
		Map<WarmUpDecision, Integer> counts = this.heldBack;
		if (!counts.isEmpty()) {
			this.heldBack = new EnumMap<>(WarmUpDecision.class);
		}
		return counts;
	}

	/**
	 * Returns the servers that have turned cold or warm since the last call. Must be
	 * called every few milliseconds while the process runs: if nothing is called for a
	 * second, all servers count as possibly cold.
	 * @param now the current time in nanoseconds
	 * @return the changes; empty if requests to cold servers are not limited
	 */
	public List<ColdChange> takeChanges(long now) {
		recordActive(now);
		List<ColdChange> changes = new ArrayList<>();
		if (this.limit.isPresent()) {
			for (PoolServer server : this.servers.get()) {
				server.warmUp()
					.takeChange(now)
					.ifPresent((cold) -> changes.add(new ColdChange(server.announcement(),
							Duration.ofNanos(Math.max(0, server.warmUp().nanosLeft(now))))));
			}
		}
		return changes;
	}

}

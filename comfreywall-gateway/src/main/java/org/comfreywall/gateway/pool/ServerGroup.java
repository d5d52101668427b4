package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * State that one entry keeps for a group of backend servers: outage, pause limit, time to
 * the first part of a response, and what the leader has reported.
 * <p>
 * The members are the servers that name this group, so a server that is assigned to
 * another group takes its requests in flight along.
 */
final class ServerGroup {

	/** Weight of a new sample of the time to the first part of a response. */
	private static final double FIRST_PART_SMOOTHING = 0.05;

	/**
	 * The leader repeats its reports every two seconds, so five in a row are lost by
	 * then.
	 */
	private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** An older pause tells nothing of the present load. */
	private static final long PAUSE_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Collection<PoolServer> servers;

	private final EntryQuota quota;

	private final GroupOutage outage = new GroupOutage();

	private String name;

	private Optional<PauseLimit> pauseLimit = Optional.empty();

	private double firstPartNanos;

	private long pauseRecordedAt;

	private long epoch;

	private boolean reportedOpen = true;

	private long reportedAt;

	/**
	 * Creates a group.
	 * @param name its name; empty if it is not known
	 * @param servers a view of all servers of the pool, of whatever group
	 * @param random rounds this entry's share of the room in the group
	 */
	ServerGroup(String name, Collection<PoolServer> servers, RandomGenerator random) {
		this.name = name;
		this.servers = servers;
		this.quota = new EntryQuota(random);
	}

	String name() {
		return this.name;
	}

	void rename(String newName) {
		this.name = newName;
	}

	long epoch() {
		return this.epoch;
	}

	List<PoolServer> members() {
		return this.servers.stream().filter((server) -> server.group() == this).toList();
	}

	/**
	 * Applies a report of the leader.
	 * @param state the report
	 * @param now the current time in nanoseconds
	 * @return {@code true} if the group opened or closed by it
	 */
	boolean updateState(GroupState state, long now) {
		boolean before = !isReportedClosed(now);
		this.epoch = state.epoch();
		this.reportedOpen = state.open();
		this.reportedAt = now;
		return before != state.open();
	}

	/**
	 * Returns whether the leader has reported of late that the group runs no passes.
	 * @param now the current time in nanoseconds
	 * @return {@code false} also if it is not known
	 */
	boolean isReportedClosed(long now) {
		return !this.reportedOpen && now - this.reportedAt <= REPORT_VALIDITY_NANOS;
	}

	void limitPauses(Duration target, Duration base, IntSupplier minPauses) {
		if (this.pauseLimit.filter((present) -> present.isFor(target, base)).isEmpty()) {
			this.pauseLimit = Optional.of(new PauseLimit(target, base, minPauses));
		}
	}

	void endPauseLimit() {
		this.pauseLimit = Optional.empty();
	}

	void recordPause(long nanos, long now) {
		this.pauseRecordedAt = now;
		this.pauseLimit.ifPresent((limit) -> limit.recordPause(nanos, this::inFlight, now));
	}

	/**
	 * Records that a server rejected a request because of a fault of another one.
	 * @param now the current time in nanoseconds
	 * @return {@code true} if an outage begins with it
	 */
	boolean recordFault(long now) {
		return this.outage.recordRejection(now);
	}

	void recordRestart(long now) {
		this.outage.recordRestart(now);
	}

	/**
	 * Records that a server answered a request.
	 * @param nanos the time until the first part of the response, in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return the duration of the outage that ends with it, if one does
	 */
	Optional<Duration> recordAnswer(long nanos, long now) {
		this.firstPartNanos += FIRST_PART_SMOOTHING * (nanos - this.firstPartNanos);
		return this.outage.recordAnswer(now);
	}

	double firstPartNanos() {
		return this.firstPartNanos;
	}

	/**
	 * Returns whether requests must not be sent to the group, by what its servers have
	 * answered.
	 * @param now the current time in nanoseconds
	 * @return {@code true} until the next probe is due or the group has formed
	 */
	boolean isClosed(long now) {
		return this.outage.isClosed(now);
	}

	void recordSent(long now) {
		this.outage.recordSent(now);
	}

	/**
	 * Returns whether the group gets no requests that another one can take: the leader
	 * has reported that it runs no passes, or a probe of it is under way.
	 * @param now the current time in nanoseconds
	 * @return {@code true} if other groups are preferred
	 */
	boolean isAvoided(long now) {
		return isReportedClosed(now) || this.outage.isProbed(now);
	}

	OptionalLong opensAt(long now) {
		return this.outage.opensAt(now);
	}

	/**
	 * Returns the expected time until the group takes requests again.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds; empty if none of its servers accepts requests
	 */
	OptionalLong expectedNanos(long now) {
		OptionalLong usable = members().stream()
			.filter(PoolServer::acceptsRequests)
			.mapToLong((server) -> Math.max(0, server.usableAt() - now))
			.min();
		return (isClosed(now) && usable.isPresent()) ? OptionalLong.of(this.outage.expectedNanos(now)) : usable;
	}

	/**
	 * Returns the expected time until the outage ends.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds
	 */
	long expectedOutageNanos(long now) {
		return this.outage.expectedNanos(now);
	}

	boolean isLimitReached(long now) {
		OptionalInt limit = inFlightLimit(now);
		return limit.isPresent() && inFlight() >= limit.getAsInt();
	}

	/**
	 * Returns whether this entry has used its share of the room that is left until the
	 * limit.
	 * @param entries the number of entries
	 * @param now the current time in nanoseconds
	 * @return {@code false} also without a limit
	 */
	boolean isQuotaUsed(int entries, long now) {
		OptionalInt limit = inFlightLimit(now);
		int own = members().stream().mapToInt(PoolServer::inFlight).sum();
		return limit.isPresent() && !this.quota.allows(own, limit.getAsInt() - inFlight(), entries, now);
	}

	boolean hasUsableServer(long now) {
		return members().stream().anyMatch((server) -> server.isUsable(now));
	}

	boolean hasAcceptingServer() {
		return members().stream().anyMatch(PoolServer::acceptsRequests);
	}

	/**
	 * Returns the servers that can take a request now, whatever the limit by pauses.
	 * @param excluded the identifiers of servers that it must not be sent to
	 * @param now the current time in nanoseconds
	 * @return the servers with free slots
	 */
	List<PoolServer> freeServers(Set<String> excluded, long now) {
		return members().stream()
			.filter((server) -> server.isUsable(now) && server.freeSlots(now) > 0
					&& !excluded.contains(server.announcement().server()))
			.toList();
	}

	/**
	 * Returns what a choice between groups depends on.
	 * @param now the current time in nanoseconds
	 * @return the group as a candidate
	 */
	GroupCandidate candidate(long now) {
		int slots = slots();
		int capacity = Math.max(1, Math.min(slots, inFlightLimit(now).orElse(slots)));
		double slowdown = members().stream()
			.filter(PoolServer::acceptsRequests)
			.mapToDouble(PoolServer::slowdown)
			.max()
			.orElse(1);
		boolean recent = now - this.pauseRecordedAt <= PAUSE_VALIDITY_NANOS;
		return new GroupCandidate(inFlight(), capacity, recent ? lastPause() : Duration.ZERO, slowdown);
	}

	/**
	 * Returns the load of the group.
	 * @param now the current time in nanoseconds
	 * @return the load
	 */
	GroupLoad load(long now) {
		boolean open = !isClosed(now) && !isReportedClosed(now);
		return new GroupLoad(this.name, open, inFlight(), inFlightLimit(now), lastPause());
	}

	private Duration lastPause() {
		return this.pauseLimit.map(PauseLimit::lastPause).orElse(Duration.ZERO);
	}

	private OptionalInt inFlightLimit(long now) {
		return this.pauseLimit.map((present) -> present.limit(slots(), now)).orElse(OptionalInt.empty());
	}

	private int inFlight() {
		return members().stream().mapToInt(PoolServer::totalInFlight).sum();
	}

	private int slots() {
		return members().stream()
			.filter(PoolServer::acceptsRequests)
			.mapToInt((server) -> server.announcement().slots())
			.sum();
	}

}

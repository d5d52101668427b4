package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.LruMap;
import org.comfreywall.common.util.Preconditions;

/**
 * Directory of backend servers, merged from the announcements that all processes of the
 * fleet received.
 * <p>
 * Merging the announcements of a server is commutative: processes that receive the same
 * ones in any order keep the same one. Servers that have announced that they are leaving
 * are retained for a while, so that a delayed announcement cannot make them available
 * again; the same applies to the latest incarnation at an address.
 * <p>
 * Once the services are known, an announcement for another service has no effect on the
 * servers: it may come from a foreign writer. It is held in case its service is
 * configured later.
 */
public final class ServerDirectory {

	/**
	 * Time without announcements after which a server is removed; covers a long
	 * partition.
	 */
	private static final Duration RETENTION = Duration.ofMinutes(3);

	private static final int MAX_SERVERS = 20_000;

	private static final int MAX_HELD_ANNOUNCEMENTS = 2_000;

	private final Map<String, ReceivedAnnouncement> byServer = new HashMap<>();

	private final Map<HostPort, Long> latestStartMillisByAddress = new HashMap<>();

	private final Map<String, ReceivedDeparture> departures = new HashMap<>();

	private final Map<String, ReceivedAnnouncement> held = new LruMap<>(MAX_HELD_ANNOUNCEMENTS);

	private Optional<Set<String>> services = Optional.empty();

	/**
	 * Sets the configured services and removes the servers of all others. Until the first
	 * call, announcements for any service are merged.
	 * @param configured the names of the services
	 * @return the last announcements of the removed servers
	 */
	public List<ServerAnnouncement> updateServices(Set<String> configured) {
		this.services = Optional.of(Set.copyOf(configured));
		List<ServerAnnouncement> removed = allAnnouncements().stream()
			.filter((known) -> !isConfigured(known.service()))
			.toList();
		if (!removed.isEmpty()) {
			removed.forEach((known) -> this.byServer.remove(known.server()));
			// What was removed must not make the other servers at its address seem
			// outdated.
			this.latestStartMillisByAddress.clear();
			allAnnouncements().forEach(this::recordStart);
		}
		return removed;
	}

	/**
	 * Removes and returns the held announcements whose services have been configured by
	 * now, to be merged again.
	 * @return the announcements
	 */
	public List<ServerAnnouncement> takeConfigured() {
		List<ServerAnnouncement> configured = this.held.values()
			.stream()
			.map(ReceivedAnnouncement::announcement)
			.filter((each) -> isConfigured(each.service()))
			.toList();
		configured.forEach((each) -> this.held.remove(each.serviceMember()));
		return configured;
	}

	/**
	 * Returns whether a service is configured.
	 * @param service the name of the service
	 * @return {@code true} also if the services are not known yet
	 */
	public boolean isConfigured(String service) {
		return this.services.filter((known) -> !known.contains(service)).isEmpty();
	}

	private void recordStart(ServerAnnouncement announcement) {
		this.latestStartMillisByAddress.merge(announcement.address(), announcement.startedMillis(), Math::max);
	}

	/**
	 * Merges an announcement.
	 * @param announcement the announcement
	 * @param receivedAt when the first process of the fleet received it, in nanoseconds
	 * of this process's clock
	 * @return {@code true} if it replaced the stored one
	 */
	public boolean merge(ServerAnnouncement announcement, long receivedAt) {
		Preconditions.notNull(announcement, "announcement");
		if (!isConfigured(announcement.service())) {
			this.held.put(announcement.serviceMember(), new ReceivedAnnouncement(announcement, receivedAt));
			return false;
		}
		ReceivedAnnouncement known = this.byServer.get(announcement.server());
		long latestStartMillis = this.latestStartMillisByAddress.getOrDefault(announcement.address(), Long.MIN_VALUE);
		// A later incarnation has been announced at the same address.
		boolean superseded = announcement.startedMillis() < latestStartMillis
				&& announcement.state() == ServerState.READY;
		boolean left = announcement.state() == ServerState.READY
				&& (hasLeft(announcement.server(), announcement.startedMillis())
						|| hasLeft(announcement.serviceMember(), announcement.startedMillis()));
		boolean full = known == null && this.byServer.size() >= MAX_SERVERS;
		if (superseded || left || full || (known != null && !announcement.replaces(known.announcement()))) {
			return false;
		}
		this.byServer.put(announcement.server(), new ReceivedAnnouncement(announcement, receivedAt));
		recordStart(announcement);
		if (announcement.state() != ServerState.READY) {
			addDeparture(new Departure(announcement.server(), announcement.startedMillis()), receivedAt);
		}
		return true;
	}

	private boolean addDeparture(Departure departure, long receivedAt) {
		ReceivedDeparture known = this.departures.get(departure.server());
		boolean full = known == null && this.departures.size() >= MAX_SERVERS;
		boolean later = known == null || departure.startedMillis() > known.departure().startedMillis();
		if (full || !later) {
			return false;
		}
		this.departures.put(departure.server(), new ReceivedDeparture(departure, receivedAt));
		return true;
	}

	/**
	 * Merges a departure, after which announcements of the same incarnation that it is
	 * ready are refused.
	 * @param departure the departure
	 * @param receivedAt when the first process of the fleet received it, in nanoseconds
	 * of this process's clock
	 * @return the changed announcement, if the server was ready in that incarnation
	 */
	public Optional<ServerAnnouncement> merge(Departure departure, long receivedAt) {
		addDeparture(departure, receivedAt);
		Optional<ServerAnnouncement> leaving = find(departure.server())
			.filter((known) -> known.state() == ServerState.READY && known.startedMillis() <= departure.startedMillis())
			.map((known) -> known.withState(ServerState.LEAVING));
		leaving.ifPresent((changed) -> merge(changed, receivedAt));
		return leaving;
	}

	/**
	 * Returns whether a server has announced that it leaves.
	 * @param server the server's identifier
	 * @param startedMillis the start of its incarnation
	 * @return {@code true} if that incarnation or a later one leaves or has left
	 */
	public boolean hasLeft(String server, long startedMillis) {
		ReceivedDeparture known = this.departures.get(server);
		return known != null && startedMillis <= known.departure().startedMillis();
	}

	/**
	 * Returns all departures that are retained.
	 * @param now the current time in nanoseconds
	 * @return their ages in nanoseconds
	 */
	public Map<Departure, Long> departureAges(long now) {
		Map<Departure, Long> ages = new HashMap<>();
		this.departures.values().forEach((each) -> ages.put(each.departure(), now - each.receivedAt()));
		return ages;
	}

	/**
	 * Removes the servers that ended before another one started at their address.
	 * @param announcement an announcement that was merged
	 * @return the last announcements of the removed servers
	 */
	public List<ServerAnnouncement> removePredecessors(ServerAnnouncement announcement) {
		List<ServerAnnouncement> removed = this.byServer.values()
			.stream()
			.map(ReceivedAnnouncement::announcement)
			.filter((other) -> other.address().equals(announcement.address())
					&& other.startedMillis() < announcement.startedMillis())
			.toList();
		removed.forEach((other) -> this.byServer.remove(other.server()));
		return removed;
	}

	/**
	 * Finds a server.
	 * @param server the server's identifier
	 * @return its latest announcement, or empty if the server is unknown
	 */
	public Optional<ServerAnnouncement> find(String server) {
		return Optional.ofNullable(this.byServer.get(server)).map(ReceivedAnnouncement::announcement);
	}

	/**
	 * Returns the age of a server's latest announcement.
	 * @param server the server's identifier
	 * @param now the current time in nanoseconds
	 * @return the age in nanoseconds; {@link Long#MAX_VALUE} if the server is unknown
	 */
	public long announcementAgeNanos(String server, long now) {
		ReceivedAnnouncement latest = this.byServer.get(server);
		return (latest != null) ? now - latest.receivedAt() : Long.MAX_VALUE;
	}

	/**
	 * Returns all announcements, including those of servers that have left.
	 * @return the announcements
	 */
	public List<ServerAnnouncement> allAnnouncements() {
		return this.byServer.values().stream().map(ReceivedAnnouncement::announcement).toList();
	}

	/**
	 * Removes servers without an announcement for the retention time.
	 * @param now the current time in nanoseconds
	 * @return the last announcements of the removed servers
	 */
	public List<ServerAnnouncement> removeExpired(long now) {
		this.departures.values().removeIf((each) -> now - each.receivedAt() > RETENTION.toNanos());
		this.held.values().removeIf((each) -> now - each.receivedAt() > RETENTION.toNanos());
		List<ServerAnnouncement> removed = new ArrayList<>();
		Iterator<ReceivedAnnouncement> all = this.byServer.values().iterator();
		while (all.hasNext()) {
			ReceivedAnnouncement latest = all.next();
			if (now - latest.receivedAt() > RETENTION.toNanos()) {
				removed.add(latest.announcement());
				all.remove();
			}
		}
		return removed;
	}

	/**
	 * An announcement and the time at which the fleet received it, in nanoseconds.
	 */
	private record ReceivedAnnouncement(ServerAnnouncement announcement, long receivedAt) {
	}

	/**
	 * A departure and the time at which the fleet received it, in nanoseconds.
	 */
	private record ReceivedDeparture(Departure departure, long receivedAt) {
	}

}

package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;

/**
 * Membership table: the processes of the fleet that this process knows, by address.
 */
final class PeerTable {

	private static final EventLog LOG = EventLog.of(PeerTable.class);

	/**
	 * Time since its last update for which a process counts as live; seven updates in a
	 * row are missing by then.
	 */
	static final Duration LIVE_TIMEOUT = Duration.ofMillis(1500);

	/**
	 * Time for which processes without updates are kept, so that those behind a partition
	 * still count as members and are reconnected to.
	 */
	private static final Duration RETENTION = Duration.ofSeconds(40);

	private final Map<HostPort, Entry> entries = new HashMap<>();

	private Set<String> liveInstances = Set.of();

	// Records an update that was received from the process itself. A process that has
	// moved to another address is removed from the old one.
	void recordUpdate(FleetPeer peer, boolean leaving, long now) {
		this.entries.values()
			.removeIf((other) -> other.peer != null && other.peer.instance().equals(peer.instance())
					&& !other.peer.address().equals(peer.address()));
		Entry entry = this.entries.computeIfAbsent(peer.address(), (address) -> new Entry(now));
		entry.peer = peer;
		entry.leaving = leaving;
		entry.lastUpdate = now;
		entry.updateReceived = true;
	}

	// Adds an address from the settings or from another process. It does not count as
	// live until an update of it was received.
	void addAddress(HostPort address, long now) {
		this.entries.computeIfAbsent(address, (added) -> new Entry(now));
	}

	void removeExpired(long now, List<HostPort> kept) {
		this.entries.entrySet()
			.removeIf((entry) -> !kept.contains(entry.getKey())
					&& now - entry.getValue().lastUpdate > RETENTION.toNanos());
	}

	List<HostPort> addresses() {
		return List.copyOf(this.entries.keySet());
	}

	Optional<FleetPeer> find(String instance) {
		return this.entries.values()
			.stream()
			.map((entry) -> entry.peer)
			.filter((peer) -> peer != null && peer.instance().equals(instance))
			.findFirst();
	}

	List<FleetPeer> knownPeers() {
		return this.entries.values().stream().map((entry) -> entry.peer).filter((peer) -> peer != null).toList();
	}

	// Returns the processes that may still take part, also behind a partition. A seed
	// that
	// is gone for good is not among them, although its address is kept.
	List<FleetPeer> recentPeers(long now) {
		return updatedWithin(RETENTION, now);
	}

	List<FleetPeer> livePeers(long now) {
		return updatedWithin(LIVE_TIMEOUT, now);
	}

	// Logs which processes were lost or regained since the call before.
	void logLiveInstances(long now) {
		Set<String> liveNow = livePeers(now).stream().map(FleetPeer::instance).collect(Collectors.toSet());
		liveNow.stream()
			.filter((instance) -> !this.liveInstances.contains(instance))
			.forEach((instance) -> LOG.info("peer-regained", Field.of("peer", instance)));
		this.liveInstances.stream()
			.filter((instance) -> !liveNow.contains(instance))
			.forEach((instance) -> LOG.warn("peer-lost", Field.of("peer", instance)));
		this.liveInstances = liveNow;
	}

	// Returns the live processes that do not stop.
	List<FleetPeer> stayingPeers(long now) {
		return peers((entry) -> entry.isUpdatedWithin(LIVE_TIMEOUT, now) && !entry.leaving);
	}

	List<FleetPeer> updatedWithin(Duration age, long now) {
		return peers((entry) -> entry.isUpdatedWithin(age, now));
	}

	List<HostPort> durableAddresses(Duration age, long now) {
		return updatedWithin(age, now).stream().filter(FleetPeer::isDurable).map(FleetPeer::address).toList();
	}

	private List<FleetPeer> peers(Predicate<Entry> condition) {
		return this.entries.values().stream().filter(condition).map((entry) -> entry.peer).toList();
	}

	private static final class Entry {

		private FleetPeer peer;

		private long lastUpdate;

		private boolean updateReceived;

		private boolean leaving;

		private Entry(long addedAt) {
			this.lastUpdate = addedAt;
		}

		private boolean isUpdatedWithin(Duration age, long now) {
			return this.updateReceived && now - this.lastUpdate < age.toNanos();
		}

	}

}

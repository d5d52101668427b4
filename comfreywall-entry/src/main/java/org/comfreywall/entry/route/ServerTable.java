package org.comfreywall.entry.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.LruMap;

/**
 * The announced backend servers. An incarnation that is leaving or has ended is never
 * added again.
 */
final class ServerTable {

	/** Number of ended incarnations stored, as a multiple of {@code maxServers}. */
	private static final int ENDED_INCARNATIONS_PER_SERVER = 4;

	private final int maxServers;

	private final Map<BackendServerId, ServerState> servers = new HashMap<>();

	private final Map<BackendServerId, Incarnation> endedIncarnations;

	ServerTable(int maxServers) {
		this.maxServers = maxServers;
		this.endedIncarnations = new LruMap<>(ENDED_INCARNATIONS_PER_SERVER * maxServers);
	}

	/**
	 * Adds the announced incarnation of a server, or updates it if it is present.
	 * @param announced the announcement
	 * @param now the present time in nanoseconds
	 * @return {@code true} if a new incarnation was added
	 */
	boolean applyAnnouncement(ServerAnnounced announced, long now) {
		ServerState known = this.servers.get(announced.server());
		if (known != null && known.incarnation().equals(announced.incarnation())) {
			known.update(announced);
			return false;
		}
		if (!isNewer(announced, known) || (known == null && this.servers.size() >= this.maxServers)) {
			return false;
		}
		this.servers.put(announced.server(), new ServerState(announced, now));
		return true;
	}

	void markLeaving(BackendServerId server, Incarnation incarnation) {
		this.endedIncarnations.merge(server, incarnation, ServerTable::latest);
		find(server).filter((state) -> !incarnation.isBefore(state.incarnation())).ifPresent(ServerState::markLeaving);
	}

	/**
	 * Removes a server unless a later incarnation was announced.
	 * @param server the backend server
	 * @param incarnation the incarnation that ended
	 * @return the server's state, or empty if it was not removed
	 */
	Optional<ServerState> remove(BackendServerId server, Incarnation incarnation) {
		this.endedIncarnations.merge(server, incarnation, ServerTable::latest);
		Optional<ServerState> state = find(server).filter((known) -> !incarnation.isBefore(known.incarnation()));
		state.ifPresent((known) -> this.servers.remove(server));
		return state;
	}

	Optional<ServerState> find(BackendServerId server) {
		return Optional.ofNullable(this.servers.get(server));
	}

	Optional<ServerState> find(BackendServerId server, Incarnation incarnation) {
		return find(server).filter((state) -> state.incarnation().equals(incarnation));
	}

	/**
	 * Returns the servers that may be assigned to entries.
	 * @return the servers that are not leaving
	 */
	Set<BackendServerId> activeServers() {
		return this.servers.values()
			.stream()
			.filter((state) -> !state.isLeaving())
			.map(ServerState::id)
			.collect(Collectors.toUnmodifiableSet());
	}

	Collection<ServerState> all() {
		return Collections.unmodifiableCollection(this.servers.values());
	}

	private boolean isNewer(ServerAnnounced announced, ServerState known) {
		Incarnation ended = this.endedIncarnations.get(announced.server());
		return (known == null || known.incarnation().isBefore(announced.incarnation()))
				&& (ended == null || ended.isBefore(announced.incarnation()));
	}

	private static Incarnation latest(Incarnation first, Incarnation second) {
		return first.isBefore(second) ? second : first;
	}

}

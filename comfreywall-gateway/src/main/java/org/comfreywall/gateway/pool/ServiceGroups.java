package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.LruMap;

/**
 * The groups of the backend servers of one service.
 * <p>
 * The leader reports which address belongs to which group; what it no longer reports
 * stays as it was. A server whose group is unknown belongs to the only known group, or to
 * a default group if there are several or none. There is always a group, and the state of
 * the default group passes to the first group that becomes known.
 */
final class ServiceGroups {

	private static final EventLog LOG = EventLog.of(ServiceGroups.class);

	/** The name of the default group. */
	private static final String UNKNOWN = "";

	/** The most addresses whose group is retained. */
	private static final int MAX_ADDRESSES = 20_000;

	private final Collection<PoolServer> servers;

	private final RandomGenerator random;

	private final Map<HostPort, String> names = new LruMap<>(MAX_ADDRESSES);

	private final List<ServerGroup> groups = new ArrayList<>();

	private Optional<PauseTarget> pauseTarget = Optional.empty();

	/**
	 * Creates the default group.
	 * @param servers a view of all servers of the pool
	 * @param random rounds this entry's share of the room in each group
	 */
	ServiceGroups(Collection<PoolServer> servers, RandomGenerator random) {
		this.servers = servers;
		this.random = random;
		this.groups.add(new ServerGroup(UNKNOWN, servers, random));
	}

	List<ServerGroup> all() {
		return this.groups;
	}

	void limitPauses(Duration target, Duration base) {
		this.pauseTarget = Optional.of(new PauseTarget(target, base));
		this.groups.forEach((group) -> group.limitPauses(target, base, this::minPauses));
	}

	private int minPauses() {
		return (this.groups.size() > 1) ? PauseLimit.MIN_PAUSES_OF_SEVERAL_GROUPS : PauseLimit.MIN_PAUSES;
	}

	void endPauseLimit() {
		this.pauseTarget = Optional.empty();
		this.groups.forEach(ServerGroup::endPauseLimit);
	}

	boolean hasPauseLimit() {
		return this.pauseTarget.isPresent();
	}

	/**
	 * Applies the leader's reports.
	 * @param states the groups of this service
	 * @param now the current time in nanoseconds
	 */
	void update(List<GroupState> states, long now) {
		states.forEach((state) -> state.servers().forEach((address) -> this.names.put(address, state.group())));
		boolean changed = assign();
		for (GroupState state : states) {
			Optional<ServerGroup> group = find(state.group());
			changed |= group.filter((known) -> known.epoch() != state.epoch()).isPresent();
			group.filter((known) -> known.updateState(state, now))
				.ifPresent((known) -> LOG.info(state.open() ? "group-opened" : "group-closed",
						Field.of("service", state.service()), Field.of("group", state.group()),
						Field.of("epoch", state.epoch()), Field.of("source", "leader")));
		}
		if (changed) {
			LOG.info("groups-changed", Field.of("service", states.get(0).service()),
					Field.of("groups", this.groups.stream().map(ServiceGroups::describe).toList()));
		}
	}

	private static String describe(ServerGroup group) {
		return group.name() + ":servers=" + group.members().size() + ":epoch=" + group.epoch();
	}

	private Optional<ServerGroup> find(String name) {
		return this.groups.stream().filter((group) -> group.name().equals(name)).findFirst();
	}

	/**
	 * Assigns each server to its group. Must be called after a server was added.
	 * @return {@code true} if the group of a server has changed, or its name
	 */
	boolean assign() {
		if (this.servers.isEmpty()) {
			return false;
		}
		Map<PoolServer, String> assigned = assignedNames();
		Set<String> present = new TreeSet<>(assigned.values());
		Set<String> retained = new HashSet<>(this.names.values());
		retained.addAll(present);
		List<ServerGroup> unused = new ArrayList<>(
				this.groups.stream().filter((group) -> !retained.contains(group.name())).toList());
		boolean changed = false;
		for (String name : present) {
			if (find(name).isEmpty()) {
				changed = true;
				if (unused.isEmpty()) {
					this.groups.add(newGroup(name));
				}
				else {
					unused.remove(0).rename(name);
				}
			}
		}
		for (Map.Entry<PoolServer, String> entry : assigned.entrySet()) {
			ServerGroup group = find(entry.getValue()).orElseThrow();
			changed |= entry.getKey().group() != null && entry.getKey().group() != group;
			entry.getKey().assign(group);
		}
		this.groups.removeAll(unused);
		return changed;
	}

	private Map<PoolServer, String> assignedNames() {
		Set<String> known = new LinkedHashSet<>();
		this.servers.stream().map(this::knownName).filter(Objects::nonNull).forEach(known::add);
		boolean single = known.isEmpty() && this.groups.size() == 1;
		if (single) {
			known.add(this.groups.get(0).name());
		}
		String other = (known.size() == 1) ? known.iterator().next() : UNKNOWN;
		return this.servers.stream()
			.collect(Collectors.toMap((server) -> server,
					(server) -> Objects.requireNonNullElse(knownName(server), other)));
	}

	private String knownName(PoolServer server) {
		return this.names.get(server.announcement().address());
	}

	private ServerGroup newGroup(String name) {
		ServerGroup added = new ServerGroup(name, this.servers, this.random);
		this.pauseTarget.ifPresent((pauses) -> added.limitPauses(pauses.target(), pauses.base(), this::minPauses));
		return added;
	}

	private record PauseTarget(Duration target, Duration base) {
	}

}

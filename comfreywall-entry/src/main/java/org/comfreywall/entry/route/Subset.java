package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;

/**
 * The subset of the backend servers that this entry uses.
 */
final class Subset {

	private final InstanceId self;

	private final SubsetAssigner assigner;

	private Set<InstanceId> entries;

	private Set<BackendServerId> ids = Set.of();

	private List<ServerState> members = List.of();

	private boolean outdated;

	Subset(InstanceId self, SubsetAssigner assigner) {
		this.self = self;
		this.assigner = assigner;
		this.entries = Set.of(self);
	}

	void setEntries(Set<InstanceId> next) {
		Set<InstanceId> all = new HashSet<>(next);
		all.add(this.self);
		this.outdated |= !all.equals(this.entries);
		this.entries = all;
	}

	void markOutdated() {
		this.outdated = true;
	}

	/**
	 * Removes a server at once, without a new assignment.
	 * @param server the server
	 */
	void remove(ServerState server) {
		this.outdated = true;
		this.members = this.members.stream().filter((member) -> member != server).toList();
	}

	List<ServerState> members() {
		return this.members;
	}

	boolean isOutdated() {
		return this.outdated;
	}

	/**
	 * Computes the subset again if entries or servers have changed.
	 * @param table the announced servers
	 * @return the difference from the last assignment, or empty if there is none
	 */
	Optional<SubsetChanged> refresh(ServerTable table) {
		if (!this.outdated) {
			return Optional.empty();
		}
		this.outdated = false;
		Set<BackendServerId> next = this.assigner.assign(this.self, this.entries, table.activeServers());
		Set<BackendServerId> before = this.ids;
		this.ids = next;
		this.members = states(next, table);
		return before.equals(next) ? Optional.empty()
				: Optional.of(new SubsetChanged(difference(next, before), difference(before, next)));
	}

	private static List<ServerState> states(Set<BackendServerId> ids, ServerTable table) {
		List<ServerState> states = new ArrayList<>(ids.size());
		ids.stream().sorted().forEach((id) -> table.find(id).ifPresent(states::add));
		return List.copyOf(states);
	}

	private static Set<BackendServerId> difference(Set<BackendServerId> set, Set<BackendServerId> other) {
		Set<BackendServerId> rest = new HashSet<>(set);
		rest.removeAll(other);
		return rest;
	}

}

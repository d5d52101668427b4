package org.comfreywall.entry.route;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Assigns a subset of the backend servers to each entry, so that nearly the same number
 * of entries uses each server.
 * <p>
 * The assignment is deterministic: entries with the same lists of instances compute the
 * same result without communication. When servers are added or removed, few entries
 * change few of their servers.
 */
public final class SubsetAssigner {

	private final int size;

	/**
	 * Creates an assigner.
	 * @param size the number of servers in each subset, at least 1
	 */
	public SubsetAssigner(int size) {
		Preconditions.check(size >= 1, "size must be at least 1: %d", size);
		this.size = size;
	}

	/**
	 * Assigns the servers of one entry.
	 * @param entry the entry
	 * @param entries all entries, including this one
	 * @param servers all backend servers that are not leaving
	 * @return the entry's servers; all of them if there are no more than the size
	 */
	public Set<BackendServerId> assign(InstanceId entry, Collection<InstanceId> entries,
			Collection<BackendServerId> servers) {
		Preconditions.check(entries.contains(entry), "entries must contain entry: %s", entry);
		return (servers.size() <= this.size) ? Set.copyOf(servers) : assignAll(entries, servers).get(entry);
	}

	/**
	 * Assigns the servers of all entries.
	 * @param entries all entries
	 * @param servers all backend servers that are not leaving
	 * @return the servers of each entry
	 */
	public Map<InstanceId, Set<BackendServerId>> assignAll(Collection<InstanceId> entries,
			Collection<BackendServerId> servers) {
		if (servers.size() <= this.size) {
			return entries.stream().collect(Collectors.toMap(Function.identity(), (entry) -> Set.copyOf(servers)));
		}
		List<InstanceId> sortedEntries = entries.stream().distinct().sorted().toList();
		List<BackendServerId> sortedServers = servers.stream().distinct().sorted().toList();
		return new SubsetMatching(sortedEntries, sortedServers, this.size).match();
	}

}

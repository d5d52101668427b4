package org.comfreywall.entry.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Assigns to each entry the backend servers that it uses, by rendezvous hashing.
 * <p>
 * Entries that know the same instances compute the same assignment without talking to
 * each other.
 */
public final class SubsetAssigner {

	private final int size;

	/**
	 * Creates an assigner.
	 * @param size the number of servers for each entry, at least 1
	 */
	public SubsetAssigner(int size) {
		Preconditions.check(size >= 1, "size must be at least 1: %d", size);
		this.size = size;
	}

	/**
	 * Assigns the servers of one entry.
	 * @param entry the entry
	 * @param entries all entries
	 * @param servers all backend servers that may get work
	 * @return the entry's servers; all of them if there are no more than the size
	 */
	public Set<BackendServerId> assign(InstanceId entry, Collection<InstanceId> entries,
			Collection<BackendServerId> servers) {
		if (servers.size() <= this.size) {
			return Set.copyOf(servers);
		}
		long seed = Hashes.of(entry.value());
		return servers.stream()
			.sorted(Comparator.comparingLong((server) -> Hashes.mix(seed ^ Hashes.of(server.value()))))
			.limit(this.size)
			.collect(Collectors.toUnmodifiableSet());
	}

}

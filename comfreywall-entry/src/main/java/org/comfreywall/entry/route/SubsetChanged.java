package org.comfreywall.entry.route;

import java.util.Set;

import org.comfreywall.common.id.BackendServerId;

/**
 * Subscribe to the reports and cache events of some backend servers and to those of
 * others no more.
 *
 * @param added the servers that joined the subset
 * @param removed the servers that left it
 */
public record SubsetChanged(Set<BackendServerId> added, Set<BackendServerId> removed) implements RouterCommand {

	public SubsetChanged {
		added = Set.copyOf(added);
		removed = Set.copyOf(removed);
	}

}

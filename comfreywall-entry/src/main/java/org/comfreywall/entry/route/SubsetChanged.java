package org.comfreywall.entry.route;

import java.util.Set;

import org.comfreywall.common.id.BackendServerId;

/**
 * Subscribes to the load reports and cache events of the added backend servers, and
 * unsubscribes from those of the removed ones.
 *
 * @param added the servers added to the subset
 * @param removed the servers removed from it
 */
public record SubsetChanged(Set<BackendServerId> added, Set<BackendServerId> removed) implements RouterCommand {

	public SubsetChanged {
		added = Set.copyOf(added);
		removed = Set.copyOf(removed);
	}

}

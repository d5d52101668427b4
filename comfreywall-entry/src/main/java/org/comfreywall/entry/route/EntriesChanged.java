package org.comfreywall.entry.route;

import java.util.Set;

import org.comfreywall.common.id.InstanceId;

/**
 * The entry instances that share the backend servers.
 *
 * @param entries all entry instances that are alive, this one included
 */
public record EntriesChanged(Set<InstanceId> entries) implements RouterEvent {

	public EntriesChanged {
		entries = Set.copyOf(entries);
	}

}

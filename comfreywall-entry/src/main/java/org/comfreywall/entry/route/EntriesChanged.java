package org.comfreywall.entry.route;

import java.util.Set;

import org.comfreywall.common.id.InstanceId;

/**
 * The set of entry instances that share the backend servers changed.
 *
 * @param entries all running entry instances, including this one
 */
public record EntriesChanged(Set<InstanceId> entries) implements RouterEvent {

	public EntriesChanged {
		entries = Set.copyOf(entries);
	}

}

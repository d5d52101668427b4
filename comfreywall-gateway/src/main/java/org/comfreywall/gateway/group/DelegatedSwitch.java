package org.comfreywall.gateway.group;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A switch that is delegated to a deputy: all data that is needed to complete it after
 * every rank has prepared the map.
 *
 * @param group the service and group, as {@code service/group}
 * @param epoch the group's epoch
 * @param version the version of the map
 * @param step the number of the pass to hold, the first that runs under the map
 * @param holder the rank that holds the pass
 * @param servers the backend servers of the group, by rank
 */
public record DelegatedSwitch(String group, long epoch, long version, long step, int holder, List<String> servers) {

	public DelegatedSwitch {
		Preconditions.notBlank(group, "group");
		servers = List.copyOf(servers);
		Preconditions.check(holder >= 0 && holder < servers.size(), "holder must be at least 0 and below %d: %d",
				servers.size(), holder);
	}

}

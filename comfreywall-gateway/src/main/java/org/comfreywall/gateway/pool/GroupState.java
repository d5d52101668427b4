package org.comfreywall.gateway.pool;

import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * What the leader knows of a group of ranks in lock-step.
 *
 * @param service the service that the group belongs to
 * @param group the group's name
 * @param epoch the group's epoch, which increases whenever the group is formed again
 * @param open whether the group runs passes, as far as is known
 * @param servers the addresses of its backend servers
 */
public record GroupState(String service, String group, long epoch, boolean open, Set<HostPort> servers) {

	public GroupState {
		Preconditions.notNull(service, "service");
		Preconditions.notBlank(group, "group");
		servers = Set.copyOf(Preconditions.notNull(servers, "servers"));
	}

}

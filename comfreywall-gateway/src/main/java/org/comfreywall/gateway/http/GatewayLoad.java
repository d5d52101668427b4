package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.pool.GroupLoad;

/**
 * How busy an entry is.
 *
 * @param queued the requests that wait for a slot of a backend server
 * @param inFlight the requests of this entry that were sent to backend servers
 * @param freeSlots the free slots of the backend servers as this entry knows them
 * @param group the load of a group whose requests in flight are limited, if there is one
 * @param loopDelay the longest delay of a task on the event loop since the previous
 * sample
 */
public record GatewayLoad(int queued, int inFlight, int freeSlots, Optional<GroupLoad> group, Duration loopDelay) {

	public GatewayLoad {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(loopDelay, "loopDelay");
	}

}

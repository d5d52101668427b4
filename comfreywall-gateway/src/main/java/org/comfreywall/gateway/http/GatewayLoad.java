package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.pool.GroupLoad;

/**
 * How busy an entry is.
 *
 * @param queued the requests that wait for a slot of a backend server
 * @param inFlight the requests of this entry that were sent to backend servers
 * @param freeSlots the free slots of the backend servers as this entry knows them
 * @param groups the loads of the groups by service, without services that have a single
 * group whose requests in flight are not limited
 * @param loopDelay the longest delay of a task on the event loop since the previous
 * sample
 */
public record GatewayLoad(int queued, int inFlight, int freeSlots, Map<String, List<GroupLoad>> groups,
		Duration loopDelay) {

	public GatewayLoad {
		groups = Map.copyOf(Preconditions.notNull(groups, "groups"));
		Preconditions.notNull(loopDelay, "loopDelay");
	}

}

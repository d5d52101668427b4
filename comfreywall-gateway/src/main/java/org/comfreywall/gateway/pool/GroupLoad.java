package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.OptionalInt;

import org.comfreywall.common.util.Preconditions;

/**
 * The load of a group of backend servers over all entries, as one of them knows it.
 *
 * @param group the group's name; empty if it is not known
 * @param open whether it gets requests
 * @param inFlight the requests in flight
 * @param limit the most requests that may be in flight, if it is limited
 * @param pause the last pause between two events that most streams had; zero if pauses
 * are not measured
 */
public record GroupLoad(String group, boolean open, int inFlight, OptionalInt limit, Duration pause) {

	public GroupLoad {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(limit, "limit");
		Preconditions.notNull(pause, "pause");
	}

}

package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.OptionalInt;

import org.comfreywall.common.util.Preconditions;

/**
 * The load of an expert-parallel group over all entries, as one of them knows it.
 *
 * @param inFlight the requests in flight
 * @param limit the most requests that may be in flight, if it is limited
 * @param pause the last pause between two events that most streams had
 */
public record GroupLoad(int inFlight, OptionalInt limit, Duration pause) {

	public GroupLoad {
		Preconditions.notNull(limit, "limit");
		Preconditions.notNull(pause, "pause");
	}

}

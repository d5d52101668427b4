package org.comfreywall.gateway.pool;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * A group that can take a request now.
 *
 * @param inFlight the requests in flight
 * @param capacity the most requests that are to be in flight, at least 1
 * @param pause the last pause between two events that most streams had; zero if it is not
 * known
 * @param slowdown the factor by which the slowest rank takes longer than usual, at least
 * 1
 */
record GroupCandidate(int inFlight, int capacity, Duration pause, double slowdown) {

	GroupCandidate {
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.notNull(pause, "pause");
		Preconditions.check(slowdown >= 1, "slowdown must be at least 1: %s", slowdown);
	}

}

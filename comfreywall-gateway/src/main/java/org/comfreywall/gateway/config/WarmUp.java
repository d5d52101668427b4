package org.comfreywall.gateway.config;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * How the backend servers of a service behave until they are warm.
 *
 * @param duration the usual time that a server stays cold
 * @param requestsPerSecond the requests a second that a cold server tolerates from all
 * entries together
 */
public record WarmUp(Duration duration, double requestsPerSecond) {

	public WarmUp {
		Preconditions.check(!duration.isNegative(), "duration must not be negative: %s", duration);
		Preconditions.check(requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
				"requestsPerSecond must be positive: %s", requestsPerSecond);
	}

}

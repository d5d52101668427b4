package org.comfreywall.common.config;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits on the requests of a client account at all entry instances together.
 *
 * @param requestsPerSecond requests admitted per second
 * @param tokensPerSecond prompt and generated tokens admitted per second
 * @param inFlight the maximum number of requests in flight
 */
public record AccountLimits(long requestsPerSecond, long tokensPerSecond, long inFlight) {

	public AccountLimits {
		Preconditions.check(requestsPerSecond >= 1, "requestsPerSecond must be at least 1: %d", requestsPerSecond);
		Preconditions.check(tokensPerSecond >= 1, "tokensPerSecond must be at least 1: %d", tokensPerSecond);
		Preconditions.check(inFlight >= 1, "inFlight must be at least 1: %d", inFlight);
	}

}

package org.comfreywall.common.config;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits of a client account over all entry instances together.
 *
 * @param requestsPerSecond requests admitted a second
 * @param tokensPerSecond tokens, prompt and generated, admitted a second
 * @param inFlight requests in flight at one time
 */
public record AccountLimits(long requestsPerSecond, long tokensPerSecond, long inFlight) {

	public AccountLimits {
		Preconditions.check(requestsPerSecond >= 1, "requestsPerSecond must be at least 1: %d", requestsPerSecond);
		Preconditions.check(tokensPerSecond >= 1, "tokensPerSecond must be at least 1: %d", tokensPerSecond);
		Preconditions.check(inFlight >= 1, "inFlight must be at least 1: %d", inFlight);
	}

}

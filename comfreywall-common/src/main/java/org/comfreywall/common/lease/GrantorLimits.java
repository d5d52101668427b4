package org.comfreywall.common.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * The part of a client account's limits within which one grantor may issue grants.
 *
 * @param requestsPerSecond requests per second
 * @param tokensPerSecond tokens per second
 * @param slots in-flight slots
 */
public record GrantorLimits(double requestsPerSecond, double tokensPerSecond, long slots) {

	public GrantorLimits {
		Preconditions.check(requestsPerSecond >= 0, "requestsPerSecond must not be negative: %s", requestsPerSecond);
		Preconditions.check(tokensPerSecond >= 0, "tokensPerSecond must not be negative: %s", tokensPerSecond);
		Preconditions.check(slots >= 0, "slots must not be negative: %d", slots);
	}

}

package org.comfreywall.common.lease;

import org.comfreywall.common.util.Preconditions;

/**
 * The part of a client account's limits that one grantor may give out.
 *
 * @param requestsPerSecond requests a second
 * @param tokensPerSecond tokens a second
 * @param slots requests in flight
 */
public record LimitPart(double requestsPerSecond, double tokensPerSecond, long slots) {

	public LimitPart {
		Preconditions.check(requestsPerSecond >= 0, "requestsPerSecond must not be negative: %s", requestsPerSecond);
		Preconditions.check(tokensPerSecond >= 0, "tokensPerSecond must not be negative: %s", tokensPerSecond);
		Preconditions.check(slots >= 0, "slots must not be negative: %d", slots);
	}

}

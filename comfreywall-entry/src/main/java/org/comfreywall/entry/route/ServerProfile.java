package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * What a backend server can do, used until its load reports tell more.
 *
 * @param slots the number of requests that run at one time
 * @param stepTime the time of one step at little load; for a plain service, of one
 * request
 * @param prefillTokensPerSecond the prompt tokens computed a second
 * @param movesCache whether the engine exports and imports key-value cache
 */
public record ServerProfile(int slots, Duration stepTime, double prefillTokensPerSecond, boolean movesCache) {

	/** A profile for servers that announce none. */
	public static final ServerProfile DEFAULT = new ServerProfile(64, Duration.ofMillis(20), 10_000, false);

	public ServerProfile {
		Preconditions.check(slots >= 1, "slots must be at least 1: %d", slots);
		Preconditions.check(!stepTime.isNegative(), "stepTime must not be negative: %s", stepTime);
		Preconditions.check(prefillTokensPerSecond > 0, "prefillTokensPerSecond must be positive: %s",
				prefillTokensPerSecond);
	}

}

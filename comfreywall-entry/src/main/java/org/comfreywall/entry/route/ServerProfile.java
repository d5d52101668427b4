package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The announced capacity of a backend server, used until its load reports contain
 * measured values.
 *
 * @param slots the maximum number of requests that run at one time
 * @param stepTime the duration of one step at low load; for a plain service, of one
 * request
 * @param prefillTokensPerSecond the prompt tokens computed per second
 * @param supportsCacheTransfer whether the engine can export and import key-value cache
 */
public record ServerProfile(int slots, Duration stepTime, double prefillTokensPerSecond,
		boolean supportsCacheTransfer) {

	/** The profile of servers that announce none. */
	public static final ServerProfile DEFAULT = new ServerProfile(64, Duration.ofMillis(20), 10_000, false);

	public ServerProfile {
		Preconditions.check(slots >= 1, "slots must be at least 1: %d", slots);
		Preconditions.check(!stepTime.isNegative(), "stepTime must not be negative: %s", stepTime);
		Preconditions.check(prefillTokensPerSecond > 0, "prefillTokensPerSecond must be positive: %s",
				prefillTokensPerSecond);
	}

}

package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Timeouts and capacity of a {@link SingleFlightGuard}.
 *
 * @param flightTime how long a first run blocks other requests with the same fingerprint
 * @param memoryTime how long the result of the last run of a fingerprint is cached
 * @param capacity the maximum number of fingerprints cached
 */
public record SingleFlightGuardSettings(Duration flightTime, Duration memoryTime, int capacity) {

	/** The settings used when none are given. */
	public static final SingleFlightGuardSettings DEFAULT = new SingleFlightGuardSettings(Duration.ofSeconds(5),
			Duration.ofMinutes(10), 50_000);

	public SingleFlightGuardSettings {
		Preconditions.notNull(flightTime, "flightTime");
		Preconditions.notNull(memoryTime, "memoryTime");
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
	}

}

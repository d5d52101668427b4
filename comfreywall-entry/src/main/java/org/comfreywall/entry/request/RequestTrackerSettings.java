package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds of a {@link RequestTracker}.
 *
 * @param capacity the greatest number of requests followed at the same time
 * @param sealTime how long to wait for a sidecar's answer to a seal
 * @param progressTime how long an answer may make no progress before the connection is
 * probed
 * @param flightPollTime how long to wait before asking the guard of a fingerprint again
 * @param isolationPollTime how long to wait before asking for the slot for isolated runs
 * again
 * @param detachTime how long an attempt is followed after its caller was told that the
 * outcome is unknown
 * @param maxAnswerBytes the greatest body of an answer that is recorded under a claim, in
 * bytes
 */
public record RequestTrackerSettings(int capacity, Duration sealTime, Duration progressTime, Duration flightPollTime,
		Duration isolationPollTime, Duration detachTime, int maxAnswerBytes) {

	/** The settings used when none are given. */
	public static final RequestTrackerSettings DEFAULT = new RequestTrackerSettings(10_000, Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofMillis(50), Duration.ofMillis(500), Duration.ofMinutes(2), 64 * 1024);

	public RequestTrackerSettings {
		Preconditions.notNull(sealTime, "sealTime");
		Preconditions.notNull(progressTime, "progressTime");
		Preconditions.notNull(flightPollTime, "flightPollTime");
		Preconditions.notNull(isolationPollTime, "isolationPollTime");
		Preconditions.notNull(detachTime, "detachTime");
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.check(maxAnswerBytes >= 0, "maxAnswerBytes must not be negative: %d", maxAnswerBytes);
	}

}

package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Timeouts and bounds of a {@link RequestTracker}.
 *
 * @param capacity the maximum number of concurrent requests
 * @param sealTime how long to wait for the response to a seal or to the release of a
 * claim
 * @param progressTime how long to wait for the next message of a followed attempt before
 * the connection is probed
 * @param flightPollTime the polling interval for a permit from the guard of a fingerprint
 * @param isolationPollTime the polling interval for the slot for isolated runs
 * @param detachTime how long a request is kept after its outcome was reported as unknown,
 * so that its answer or crash can still be recorded
 * @param maxAnswerBytes the maximum body size, in bytes, of an answer that is recorded
 * with a claim
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

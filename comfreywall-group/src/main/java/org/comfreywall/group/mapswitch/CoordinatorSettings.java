package org.comfreywall.group.mapswitch;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the coordinator of map switches.
 *
 * @param retryNanos time between repeated orders and writes, in nanoseconds
 * @param stageRetryNanos time between repeated orders to load a map, in nanoseconds
 * @param minLeadNanos minimum lead time: the planned time from sending the arm orders to
 * the expected start of the first step under the new map, in nanoseconds
 * @param maxLeadNanos maximum lead time, in nanoseconds
 * @param assumedStepNanos step time used until a rank has reported one, in nanoseconds
 * @param maxAttempts maximum number of attempts for each requested switch
 */
public record CoordinatorSettings(long retryNanos, long stageRetryNanos, long minLeadNanos, long maxLeadNanos,
		long assumedStepNanos, int maxAttempts) {

	/** The default settings. */
	public static final CoordinatorSettings DEFAULT = new CoordinatorSettings(Duration.ofMillis(50).toNanos(),
			Duration.ofSeconds(5).toNanos(), Duration.ofMillis(400).toNanos(), Duration.ofSeconds(20).toNanos(),
			Duration.ofMillis(20).toNanos(), 10);

	public CoordinatorSettings {
		Preconditions.check(retryNanos > 0, "retryNanos must be positive: %d", retryNanos);
		Preconditions.check(stageRetryNanos > 0, "stageRetryNanos must be positive: %d", stageRetryNanos);
		Preconditions.check(minLeadNanos > 0, "minLeadNanos must be positive: %d", minLeadNanos);
		Preconditions.check(maxLeadNanos >= minLeadNanos, "maxLeadNanos must be at least minLeadNanos: %d",
				maxLeadNanos);
		Preconditions.check(assumedStepNanos > 0, "assumedStepNanos must be positive: %d", assumedStepNanos);
		Preconditions.check(maxAttempts >= 1, "maxAttempts must be at least 1: %d", maxAttempts);
	}

}

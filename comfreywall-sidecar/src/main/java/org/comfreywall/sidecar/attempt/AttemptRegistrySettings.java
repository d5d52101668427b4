package org.comfreywall.sidecar.attempt;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits and retention times of an {@link AttemptRegistry}.
 *
 * @param window the length of one window
 * @param retainedWindows the number of windows for which an ended attempt and its answer
 * are kept
 * @param claimRetention how long the fact that a claimed request started is kept; must
 * exceed the retention of the claim ledger by the greatest drift between two clocks
 * @param orphanTime how long an attempt of an idempotent request keeps running without a
 * connection, and how long a draining sidecar waits for an entry to fetch an answer
 * @param capacity the greatest number of attempts kept
 * @param claimCapacity the greatest number of claimed requests kept after their attempts
 * have expired
 * @param maxRunning the greatest number of concurrently running attempts
 * @param maxStoredBytes the greatest total size of the stored answers, in bytes
 */
public record AttemptRegistrySettings(Duration window, int retainedWindows, Duration claimRetention,
		Duration orphanTime, int capacity, int claimCapacity, int maxRunning, long maxStoredBytes) {

	/** The default settings. */
	public static final AttemptRegistrySettings DEFAULT = new AttemptRegistrySettings(Duration.ofSeconds(10), 6,
			Duration.ofHours(27), Duration.ofSeconds(20), 100_000, 400_000, 1_000, 64L * 1024 * 1024);

	public AttemptRegistrySettings {
		checkPositive(window, "window");
		Preconditions.check(retainedWindows >= 1, "retainedWindows must be at least 1: %d", retainedWindows);
		checkPositive(claimRetention, "claimRetention");
		checkPositive(orphanTime, "orphanTime");
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		Preconditions.check(claimCapacity >= 1, "claimCapacity must be at least 1: %d", claimCapacity);
		Preconditions.check(maxRunning >= 1, "maxRunning must be at least 1: %d", maxRunning);
		Preconditions.check(maxStoredBytes >= 0, "maxStoredBytes must not be negative: %d", maxStoredBytes);
	}

	private static void checkPositive(Duration duration, String name) {
		Preconditions.notNull(duration, name);
		Preconditions.check(!duration.isNegative() && !duration.isZero(), "%s must be positive: %s", name, duration);
	}

}

package org.comfreywall.sidecar.attempt;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounds of an {@link AttemptRegistry}.
 *
 * @param window length of one window
 * @param retainedWindows how many windows an ended attempt is remembered, with its answer
 * @param claimRetention how long it is remembered that a claimed request started; must
 * exceed the retention of the ledger of claims by the greatest drift between two clocks
 * @param orphanTime how long an attempt of an idempotent request runs on without a
 * connection, and how long a leaving sidecar keeps an answer that nobody received
 * @param capacity the greatest number of attempts remembered
 * @param claimCapacity the greatest number of claimed requests remembered beyond their
 * windows
 * @param maxRunning the greatest number of attempts that run at the same time
 * @param maxStoredBytes the greatest sum of all stored answers, in bytes
 */
public record AttemptRegistrySettings(Duration window, int retainedWindows, Duration claimRetention,
		Duration orphanTime, int capacity, int claimCapacity, int maxRunning, long maxStoredBytes) {

	/** The settings used when none are given. */
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

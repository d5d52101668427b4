package org.comfreywall.group.life;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Timeouts of a group's lifecycle core.
 *
 * @param suspectNanos time without a message after which a rank is suspected and probed,
 * in nanoseconds
 * @param probeNanos timeout of a probe, in nanoseconds
 * @param failedProbes number of consecutive unanswered probes after which a member is
 * considered failed
 * @param stallNanos time after which a rank that blocks the others is considered stalled,
 * in nanoseconds
 * @param replaceNanos time after which a stalled rank is replaced, in nanoseconds
 */
public record LifecycleSettings(long suspectNanos, long probeNanos, int failedProbes, long stallNanos,
		long replaceNanos) {

	/** The default settings. */
	public static final LifecycleSettings DEFAULT = new LifecycleSettings(Duration.ofSeconds(1).toNanos(),
			Duration.ofSeconds(1).toNanos(), 2, Duration.ofMillis(500).toNanos(), Duration.ofSeconds(10).toNanos());

	public LifecycleSettings {
		Preconditions.check(suspectNanos > 0, "suspectNanos must be positive: %d", suspectNanos);
		Preconditions.check(probeNanos > 0, "probeNanos must be positive: %d", probeNanos);
		Preconditions.check(failedProbes >= 1, "failedProbes must be at least 1: %d", failedProbes);
		Preconditions.check(stallNanos > 0, "stallNanos must be positive: %d", stallNanos);
		Preconditions.check(replaceNanos >= stallNanos, "replaceNanos must be at least stallNanos: %d", replaceNanos);
	}

}

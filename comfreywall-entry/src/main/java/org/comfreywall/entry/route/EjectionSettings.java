package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of outlier ejection.
 *
 * @param consecutiveFailures the consecutive failures after which a backend server is
 * ejected
 * @param maxEjectedShare the maximum share of the subset's servers, not counting leaving
 * ones, that are ejected at one time, in [0, 1)
 * @param baseDuration the duration of a server's first ejection, doubled with each
 * further one until an attempt succeeds
 * @param maxDuration the maximum duration of an ejection
 */
public record EjectionSettings(int consecutiveFailures, double maxEjectedShare, Duration baseDuration,
		Duration maxDuration) {

	/** The default settings. */
	public static final EjectionSettings DEFAULTS = new EjectionSettings(5, 0.34, Duration.ofSeconds(10),
			Duration.ofMinutes(5));

	public EjectionSettings {
		Preconditions.check(consecutiveFailures >= 1, "consecutiveFailures must be at least 1: %d",
				consecutiveFailures);
		Preconditions.check(maxEjectedShare >= 0 && maxEjectedShare < 1, "maxEjectedShare must be in [0, 1): %s",
				maxEjectedShare);
		Preconditions.check(!baseDuration.isNegative() && !baseDuration.isZero(), "baseDuration must be positive: %s",
				baseDuration);
		Preconditions.check(maxDuration.compareTo(baseDuration) >= 0,
				"maxDuration must not be shorter than baseDuration: %s", maxDuration);
	}

}

package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of outlier ejection.
 *
 * @param failures the consecutive failures after which a backend server is ejected
 * @param maxShare the maximum share of the subset's servers, not counting leaving ones,
 * that are ejected at one time, in [0, 1)
 * @param first the duration of a server's first ejection, doubled with each further one
 * until an attempt succeeds
 * @param longest the maximum duration of an ejection
 */
public record EjectionSettings(int failures, double maxShare, Duration first, Duration longest) {

	/** The default settings. */
	public static final EjectionSettings DEFAULTS = new EjectionSettings(5, 0.34, Duration.ofSeconds(10),
			Duration.ofMinutes(5));

	public EjectionSettings {
		Preconditions.check(failures >= 1, "consecutiveFailures must be at least 1: %d", failures);
		Preconditions.check(maxShare >= 0 && maxShare < 1, "maxEjectedShare must be in [0, 1): %s", maxShare);
		Preconditions.check(!first.isNegative() && !first.isZero(), "baseDuration must be positive: %s", first);
		Preconditions.check(longest.compareTo(first) >= 0, "maxDuration must not be shorter than baseDuration: %s",
				longest);
	}

}

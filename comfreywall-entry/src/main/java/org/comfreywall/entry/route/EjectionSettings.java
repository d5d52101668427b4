package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of outlier ejection.
 *
 * @param failures the failures in a row after which a backend server is ejected
 * @param maxShare the greatest share of the subset's servers ejected at one time, in [0,
 * 1)
 * @param first the duration of a server's first ejection; each further one doubles it
 * @param longest the longest duration
 */
public record EjectionSettings(int failures, double maxShare, Duration first, Duration longest) {

	/** The settings used where none are given. */
	public static final EjectionSettings DEFAULTS = new EjectionSettings(5, 0.34, Duration.ofSeconds(10),
			Duration.ofMinutes(5));

	public EjectionSettings {
		Preconditions.check(failures >= 1, "failures must be at least 1: %d", failures);
		Preconditions.check(maxShare >= 0 && maxShare < 1, "maxShare must be in [0, 1): %s", maxShare);
		Preconditions.check(!first.isNegative() && !first.isZero(), "first must be positive: %s", first);
		Preconditions.check(longest.compareTo(first) >= 0, "longest must not be shorter than first: %s", longest);
	}

}

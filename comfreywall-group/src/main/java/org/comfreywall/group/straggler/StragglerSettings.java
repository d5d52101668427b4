package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the straggler detector. A window is the interval over which one set of step
 * times was averaged. Ratios are relative to the median of all ranks.
 *
 * @param slowRatio the ratio from which a rank is slow
 * @param healthyRatio the ratio below which a rank is healthy, at least 1 and below
 * {@code slowRatio}
 * @param deviations the minimum distance of a slow rank from the median, in standard
 * deviations estimated from the median absolute deviation
 * @param windowsToEnter the number of consecutive slow windows after which a rank is
 * treated as slow
 * @param windowsToLeave the number of consecutive healthy windows after which a slow rank
 * has recovered
 * @param windowsToReplace the number of windows after shedding experts for which a rank
 * may stay slow before its replacement is requested
 * @param replaceRatio the minimum ratio for which a slow rank is replaced
 * @param maximumPenalty the maximum factor by which relapses extend
 * {@code windowsToLeave}
 */
public record StragglerSettings(double slowRatio, double healthyRatio, double deviations, int windowsToEnter,
		int windowsToLeave, int windowsToReplace, double replaceRatio, int maximumPenalty) {

	/** The default settings. */
	public static final StragglerSettings DEFAULT = new StragglerSettings(1.15, 1.07, 4, 3, 6, 24, 1.3, 16);

	public StragglerSettings {
		Preconditions.check(healthyRatio >= 1, "healthyRatio must be at least 1: %s", healthyRatio);
		Preconditions.check(slowRatio > healthyRatio, "slowRatio must be above healthyRatio: %s", slowRatio);
		Preconditions.check(deviations > 0, "deviations must be positive: %s", deviations);
		Preconditions.check(windowsToEnter >= 1, "windowsToEnter must be at least 1: %d", windowsToEnter);
		Preconditions.check(windowsToLeave >= 1, "windowsToLeave must be at least 1: %d", windowsToLeave);
		Preconditions.check(windowsToReplace >= 1, "windowsToReplace must be at least 1: %d", windowsToReplace);
		Preconditions.check(replaceRatio >= slowRatio, "replaceRatio must not be below slowRatio: %s", replaceRatio);
		Preconditions.check(maximumPenalty >= 1, "maximumPenalty must be at least 1: %d", maximumPenalty);
	}

}

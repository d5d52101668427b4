package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the straggler detector. A window is the time over which one set of step
 * times was averaged.
 *
 * @param slowRatio the ratio to the median of the ranks from which a rank is slow
 * @param healthyRatio the ratio below which a slow rank is healthy again; below slowRatio
 * @param deviations how many robust standard deviations a slow rank must stand out
 * @param windowsToEnter the number of successive slow windows after which a rank is
 * treated as slow
 * @param windowsToLeave the number of successive healthy windows after which it is not
 * @param windowsToReplace the number of windows that a rank may stay slow after it shed
 * experts before its replacement is asked for
 * @param replaceRatio the ratio from which a slow rank is worth replacing
 * @param maximumPenalty the greatest factor by which repeated relapses lengthen
 * windowsToLeave
 */
public record StragglerSettings(double slowRatio, double healthyRatio, double deviations, int windowsToEnter,
		int windowsToLeave, int windowsToReplace, double replaceRatio, int maximumPenalty) {

	/** Settings used unless set otherwise. */
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

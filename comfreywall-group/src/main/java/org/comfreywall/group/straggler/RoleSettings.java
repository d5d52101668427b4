package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the role advisor. A window is the interval over which one set of loads was
 * measured.
 *
 * @param highUtilisation the utilisation from which a role needs another group
 * @param leastGain the minimum reduction of the higher of the two utilisations by a
 * change
 * @param windowsToChange the number of consecutive windows that must favour the change
 * @param windowsBetweenChanges the minimum number of windows between two changes
 * @param demandWeight the weight of a new window in the smoothed demand, above 0 up to 1
 */
public record RoleSettings(double highUtilisation, double leastGain, int windowsToChange, int windowsBetweenChanges,
		double demandWeight) {

	/** The default settings. */
	public static final RoleSettings DEFAULT = new RoleSettings(0.85, 0.1, 3, 12, 0.3);

	public RoleSettings {
		Preconditions.check(highUtilisation > 0, "highUtilisation must be positive: %s", highUtilisation);
		Preconditions.check(leastGain > 0, "leastGain must be positive: %s", leastGain);
		Preconditions.check(windowsToChange >= 1, "windowsToChange must be at least 1: %d", windowsToChange);
		Preconditions.check(windowsBetweenChanges >= windowsToChange,
				"windowsBetweenChanges must not be below windowsToChange: %d", windowsBetweenChanges);
		Preconditions.check(demandWeight > 0 && demandWeight <= 1, "demandWeight must be above 0 up to 1: %s",
				demandWeight);
	}

}

package org.comfreywall.entry.prefix;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the prefix index.
 *
 * @param maxLocations the maximum number of pairs of block and backend server
 * @param reportedHalfLife the age at which the probability of a reported block has fallen
 * to half its initial value
 * @param assumedHalfLife the same for a block that is assumed, because a prompt was sent
 * to the server, but not reported
 * @param assumedProbability the initial probability of an assumed block, in (0, 1]
 * @param gapFactor the factor applied to a server's probabilities while events are
 * missing, in (0, 1]
 * @param resyncInterval the minimum time between two snapshot requests to one server
 */
public record PrefixSettings(int maxLocations, Duration reportedHalfLife, Duration assumedHalfLife,
		double assumedProbability, double gapFactor, Duration resyncInterval) {

	/** The default settings. */
	public static final PrefixSettings DEFAULTS = new PrefixSettings(262_144, Duration.ofMinutes(10),
			Duration.ofSeconds(20), 0.9, 0.8, Duration.ofSeconds(2));

	public PrefixSettings {
		Preconditions.check(maxLocations >= 1, "maxLocations must be at least 1: %d", maxLocations);
		Preconditions.check(!reportedHalfLife.isNegative() && !reportedHalfLife.isZero(),
				"reportedHalfLife must be positive: %s", reportedHalfLife);
		Preconditions.check(!assumedHalfLife.isNegative() && !assumedHalfLife.isZero(),
				"assumedHalfLife must be positive: %s", assumedHalfLife);
		Preconditions.check(assumedProbability > 0 && assumedProbability <= 1,
				"assumedProbability must be in (0, 1]: %s", assumedProbability);
		Preconditions.check(gapFactor > 0 && gapFactor <= 1, "gapFactor must be in (0, 1]: %s", gapFactor);
		Preconditions.check(!resyncInterval.isNegative(), "resyncInterval must not be negative: %s", resyncInterval);
	}

}

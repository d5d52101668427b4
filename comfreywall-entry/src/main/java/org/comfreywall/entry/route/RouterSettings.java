package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.kv.KvPlanner;
import org.comfreywall.entry.prefix.PrefixSettings;

/**
 * Settings of a router.
 *
 * @param subsetSize the number of backend servers of one service that an entry uses
 * @param relativeTieMargin the margin above the lowest expected time within which servers
 * count as equal, as a share of that time
 * @param constantTieMargin the constant part of that margin, added to the relative one
 * @param sessionAffinityMargin the time by which the expected time on the session's
 * server may exceed the lowest before the session changes its server
 * @param slowStart the time over which the share of a new server grows to its full size
 * @param maxServers the maximum number of known backend servers
 * @param maxSessions the maximum number of sessions whose last server is stored
 * @param maxInFlight the maximum number of attempts in flight
 * @param ejection the settings of outlier ejection
 * @param prefix the settings of the prefix index
 * @param kvPlanner plans key-value cache transfers by their cost
 */
public record RouterSettings(int subsetSize, double relativeTieMargin, Duration constantTieMargin,
		Duration sessionAffinityMargin, Duration slowStart, int maxServers, int maxSessions, int maxInFlight,
		EjectionSettings ejection, PrefixSettings prefix, KvPlanner kvPlanner) {

	/** The default settings. */
	public static final RouterSettings DEFAULTS = new RouterSettings(24, 0.05, Duration.ofMillis(2),
			Duration.ofMillis(50), Duration.ofSeconds(10), 16_384, 16_384, 65_536, EjectionSettings.DEFAULTS,
			PrefixSettings.DEFAULTS, KvPlanner.DEFAULTS);

	public RouterSettings {
		Preconditions.check(subsetSize >= 1, "subsetSize must be at least 1: %d", subsetSize);
		Preconditions.check(relativeTieMargin >= 0, "relativeTieMargin must not be negative: %s", relativeTieMargin);
		Preconditions.check(!constantTieMargin.isNegative(), "constantTieMargin must not be negative: %s",
				constantTieMargin);
		Preconditions.check(!sessionAffinityMargin.isNegative(), "sessionAffinityMargin must not be negative: %s",
				sessionAffinityMargin);
		Preconditions.check(!slowStart.isNegative(), "slowStart must not be negative: %s", slowStart);
		Preconditions.check(maxServers >= 1, "maxServers must be at least 1: %d", maxServers);
		Preconditions.check(maxSessions >= 1, "maxSessions must be at least 1: %d", maxSessions);
		Preconditions.check(maxInFlight >= 1, "maxInFlight must be at least 1: %d", maxInFlight);
		Preconditions.notNull(ejection, "ejection");
		Preconditions.notNull(prefix, "prefix");
		Preconditions.notNull(kvPlanner, "kvPlanner");
	}

}

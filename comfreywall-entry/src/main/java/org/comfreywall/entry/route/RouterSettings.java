package org.comfreywall.entry.route;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.kv.KvPricing;
import org.comfreywall.entry.prefix.PrefixSettings;

/**
 * Settings of a router.
 *
 * @param subsetSize the number of backend servers of one service that an entry uses
 * @param tieShare the share of the expected time within which servers count as equal
 * @param tieTime the time within which servers count as equal
 * @param sessionYield the expected extra time beyond which a session changes its server
 * @param slowStart the time over which a new server grows to its full share
 * @param maxServers the greatest number of backend servers known
 * @param maxSessions the greatest number of sessions remembered
 * @param maxInFlight the greatest number of attempts in flight
 * @param ejection the settings of outlier ejection
 * @param prefix the settings of the prefix knowledge
 * @param kvPricing the prices of moving key-value cache
 */
public record RouterSettings(int subsetSize, double tieShare, Duration tieTime, Duration sessionYield,
		Duration slowStart, int maxServers, int maxSessions, int maxInFlight, EjectionSettings ejection,
		PrefixSettings prefix, KvPricing kvPricing) {

	/** The settings used where none are given. */
	public static final RouterSettings DEFAULTS = new RouterSettings(24, 0.05, Duration.ofMillis(2),
			Duration.ofMillis(50), Duration.ofSeconds(10), 16_384, 16_384, 65_536, EjectionSettings.DEFAULTS,
			PrefixSettings.DEFAULTS, KvPricing.DEFAULTS);

	public RouterSettings {
		Preconditions.check(subsetSize >= 1, "subsetSize must be at least 1: %d", subsetSize);
		Preconditions.check(tieShare >= 0, "tieShare must not be negative: %s", tieShare);
		Preconditions.check(!tieTime.isNegative(), "tieTime must not be negative: %s", tieTime);
		Preconditions.check(!sessionYield.isNegative(), "sessionYield must not be negative: %s", sessionYield);
		Preconditions.check(!slowStart.isNegative(), "slowStart must not be negative: %s", slowStart);
		Preconditions.check(maxServers >= 1, "maxServers must be at least 1: %d", maxServers);
		Preconditions.check(maxSessions >= 1, "maxSessions must be at least 1: %d", maxSessions);
		Preconditions.check(maxInFlight >= 1, "maxInFlight must be at least 1: %d", maxInFlight);
		Preconditions.notNull(ejection, "ejection");
		Preconditions.notNull(prefix, "prefix");
		Preconditions.notNull(kvPricing, "kvPricing");
	}

}

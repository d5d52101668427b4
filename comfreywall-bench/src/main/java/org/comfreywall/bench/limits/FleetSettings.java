package org.comfreywall.bench.limits;

import java.util.List;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * Describes a fleet of entries that share limits.
 *
 * @param entries the number of entries
 * @param limits the limits of each client account
 * @param limitSettings the settings of all enforcers
 * @param tickNanos the time between two ticks of an entry
 * @param clockDrift the drift of the clocks
 */
record FleetSettings(int entries, List<AccountLimits> limits, LimitSettings limitSettings, long tickNanos,
		double clockDrift) {

}

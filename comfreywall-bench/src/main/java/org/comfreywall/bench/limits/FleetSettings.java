package org.comfreywall.bench.limits;

import java.util.List;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * The settings of a simulated fleet of entry instances that share limits.
 *
 * @param entries the number of entry instances
 * @param limits the limits of each client account
 * @param limitSettings the settings of the limit enforcers and the lease ledgers
 * @param tickNanos the time in nanoseconds between two ticks of an entry instance
 * @param clockDrift the greatest deviation of a clock's rate from true time, as a share
 */
record FleetSettings(int entries, List<AccountLimits> limits, LimitSettings limitSettings, long tickNanos,
		double clockDrift) {

}

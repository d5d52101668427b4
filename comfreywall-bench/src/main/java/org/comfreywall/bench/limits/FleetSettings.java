package org.comfreywall.bench.limits;

import java.util.List;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * The settings of a simulated fleet of entry instances and lease grantors.
 *
 * @param entries the number of entry instances
 * @param limits the limits of the client accounts, by account index
 * @param limitSettings the settings of the limit enforcers and the lease ledgers
 * @param tickNanos the time in nanoseconds between two calls of the tick method of an
 * entry instance's limit enforcer
 * @param clockDrift the maximum relative rate error of a simulated clock, such as 0.001
 */
record FleetSettings(int entries, List<AccountLimits> limits, LimitSettings limitSettings, long tickNanos,
		double clockDrift) {

}

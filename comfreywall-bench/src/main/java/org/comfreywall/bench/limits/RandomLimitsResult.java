package org.comfreywall.bench.limits;

/**
 * The result of a randomized run of leased limits.
 *
 * @param offered the number of offered requests
 * @param admitted the number of admitted requests
 * @param entryRestarts the number of restarts of entry instances
 * @param grantorRestarts the number of restarts of grantors
 * @param partitionChanges how often a partition between an entry instance and a grantor
 * started or ended
 * @param starvationChecks the number of checks of an entry instance and a client account
 * for starvation
 * @param starved the number of checks in which no request was admitted although all
 * faults were suspended
 * @param peakRateShare the peak use of a rate limit in any window, as a share of its
 * burst
 * @param peakInFlightShare the peak number of requests in flight, as a share of the limit
 * @param peakLeaseShare the peak sum of unexpired leases, as a share of the limit
 * @param invariantViolations the number of invariant violations found by the code under
 * test itself
 */
record RandomLimitsResult(long offered, long admitted, long entryRestarts, long grantorRestarts, long partitionChanges,
		long starvationChecks, long starved, double peakRateShare, double peakInFlightShare, double peakLeaseShare,
		long invariantViolations) {

}

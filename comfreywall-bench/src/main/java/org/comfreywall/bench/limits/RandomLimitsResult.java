package org.comfreywall.bench.limits;

/**
 * The result of a {@link RandomLimitsRun}, which enforces leased limits under random
 * faults.
 *
 * @param offered the number of offered requests
 * @param admitted the number of admitted requests
 * @param entryRestarts the number of restarts of entry instances
 * @param grantorRestarts the number of restarts of grantors
 * @param partitionChanges the number of times that a partition between an entry instance
 * and a grantor started or ended
 * @param starvationChecks the number of starvation checks, one for each pair of entry
 * instance and client account
 * @param starved the number of those checks in which the entry instance admitted no
 * request of the client account although all faults were suspended
 * @param peakRateShare the peak level of the leaky-bucket meters of requests and tokens,
 * as a share of the burst; above 1 if a rate limit, or the part of it that a grantor may
 * lease, was exceeded in some window of time
 * @param peakInFlightShare the peak number of requests in flight of any client account,
 * as a share of its limit; above 1 if the limit was exceeded
 * @param peakLeaseShare the greatest of three peaks: the unexpired leases of requests and
 * those of tokens, each as a share of the burst, and the in-flight slots that entry
 * instances hold or use, as a share of the limit; above 1 if one was exceeded
 * @param invariantViolations the number of invariant violations that the entry instances
 * and grantors reported
 */
record RandomLimitsResult(long offered, long admitted, long entryRestarts, long grantorRestarts, long partitionChanges,
		long starvationChecks, long starved, double peakRateShare, double peakInFlightShare, double peakLeaseShare,
		long invariantViolations) {

}

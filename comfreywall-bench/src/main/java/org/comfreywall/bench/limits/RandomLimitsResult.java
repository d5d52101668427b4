package org.comfreywall.bench.limits;

/**
 * What a randomised run of leased limits saw.
 *
 * @param offered requests offered
 * @param admitted requests admitted
 * @param entryRestarts restarts of entries
 * @param grantorRestarts restarts of grantors
 * @param cuts times that an entry was cut off or joined again
 * @param starvationChecks pairs of entry and client account checked for starvation
 * @param starved pairs that were served nothing although messages flowed
 * @param worstWindow worst use of a rate limit in any window as a share of the limit
 * @param worstInFlight worst number in flight as a share of the limit
 * @param worstLeases worst sum of live leases as a share of the limit
 * @param breaches breaches of invariants inside the cores
 */
record RandomLimitsResult(long offered, long admitted, long entryRestarts, long grantorRestarts, long cuts,
		long starvationChecks, long starved, double worstWindow, double worstInFlight, double worstLeases,
		long breaches) {

}

package org.comfreywall.bench.mapswitch;

/**
 * The numbers of faults injected, by kind.
 *
 * @param elections coordinators started, most of them while an earlier one was still
 * running
 * @param restarts sidecars restarted while their engine kept running
 * @param replacements backend servers replaced
 * @param stalls computations of a step that were stalled on one rank
 */
record FaultCounts(int elections, int restarts, int replacements, int stalls) {

}

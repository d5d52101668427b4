package org.comfreywall.bench.mapswitch;

/**
 * How many faults were injected.
 *
 * @param elections coordinators elected, most beside one that still runs
 * @param restarts sidecars restarted beside a running engine
 * @param replacements servers replaced
 * @param stalls steps that took unusually long on a rank
 */
record FaultCounts(int elections, int restarts, int replacements, int stalls) {

}

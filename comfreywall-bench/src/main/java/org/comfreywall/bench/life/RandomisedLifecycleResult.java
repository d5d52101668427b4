package org.comfreywall.bench.life;

import java.util.List;

/**
 * The result of a randomised run of the lifecycle of a group.
 *
 * @param ticks the number of simulated ticks
 * @param steps the number of steps that the group completed
 * @param deaths the number of injected crashes of backend servers
 * @param stalls the number of injected stalls of engines
 * @param silences the number of injected periods in which the reports of a backend server
 * are lost
 * @param replacements the number of members that were replaced
 * @param violations the violations of the checks
 * @param stuckWindows the number of fault-free windows at whose end the group did not run
 */
record RandomisedLifecycleResult(long ticks, long steps, int deaths, int stalls, int silences, long replacements,
		List<String> violations, int stuckWindows) {

}

package org.comfreywall.bench.control;

import java.util.List;

/**
 * The result of a randomised run of the replicated log.
 *
 * @param steps the number of simulated events
 * @param terms the number of terms that had a leader
 * @param committed the number of committed log entries
 * @param acknowledged the number of acknowledged proposals
 * @param claims the number of idempotency keys with a granted claim
 * @param faults the number of injected faults, without disk losses
 * @param repairs the number of lost instances that were replaced
 * @param breaches the number of invariant violations that the replica cores detected
 * @param violations the violations that the checks outside the cores detected
 */
record LogRandomRunResult(long steps, long terms, long committed, long acknowledged, long claims, long faults,
		long repairs, long breaches, List<String> violations) {

}

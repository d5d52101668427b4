package org.comfreywall.bench.control;

import java.util.List;

/**
 * What a randomised run did and found.
 *
 * @param steps the events handled
 * @param terms the terms that had a leader
 * @param committed the entries committed
 * @param acknowledged the proposals acknowledged
 * @param claims the keys on which a claim was granted
 * @param faults the faults injected, disk losses not counted
 * @param repairs the lost instances replaced
 * @param breaches the breaches that the cores found themselves
 * @param violations what the checks outside the cores found
 */
record RandomRunResult(long steps, long terms, long committed, long acknowledged, long claims, long faults,
		long repairs, long breaches, List<String> violations) {

}

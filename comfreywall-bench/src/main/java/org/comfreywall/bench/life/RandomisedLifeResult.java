package org.comfreywall.bench.life;

import java.util.List;

/**
 * What a randomised run did and found.
 *
 * @param ticks the ticks run
 * @param steps the steps the group completed
 * @param deaths servers that died
 * @param stalls engines that stalled
 * @param silences servers whose reports were lost for a while
 * @param replacements members chosen in place of another
 * @param violations what the checks found
 * @param stuckWindows windows without faults at whose end the group did not run
 */
record RandomisedLifeResult(long ticks, long steps, int deaths, int stalls, int silences, long replacements,
		List<String> violations, int stuckWindows) {

}

package org.comfreywall.group.page;

import java.time.Instant;

import org.comfreywall.common.util.Preconditions;

/**
 * Measurements of one interval, shown on the page of a group.
 *
 * @param at the end of the interval
 * @param skew the step-time skew measured in the interval, at least 1
 * @param skewBound a lower bound of the skew over all placements, at least 1
 * @param bytes the number of bytes read from the weight store in the interval
 */
public record PageSample(Instant at, double skew, double skewBound, long bytes) {

	public PageSample {
		Preconditions.notNull(at, "at");
		Preconditions.check(skew >= 1, "skew must be at least 1: %s", skew);
		Preconditions.check(skewBound >= 1, "skewBound must be at least 1: %s", skewBound);
		Preconditions.check(bytes >= 0, "bytes must not be negative: %d", bytes);
	}

}

package org.comfreywall.gateway.pool;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The bound on the requests that a cold server gets from all entries together: in any
 * sliding second at most {@code perSecond} × {@code excess} + {@code slack}.
 *
 * @param duration the usual time that a server stays cold
 * @param perSecond the requests a second that a cold server tolerates
 * @param excess the factor by which they may be exceeded, at least 1
 * @param slack the additional requests within a second
 */
public record WarmUpLimit(Duration duration, double perSecond, double excess, double slack) {

	private static final double NANOS_PER_SECOND = 1e9;

	public WarmUpLimit {
		Preconditions.notNull(duration, "duration");
		Preconditions.check(perSecond > 0 && Double.isFinite(perSecond), "perSecond must be positive: %s", perSecond);
		Preconditions.check(excess >= 1, "excess must be at least 1: %s", excess);
		Preconditions.check(slack >= 0, "slack must not be negative: %s", slack);
	}

	private double bound() {
		return this.perSecond * this.excess + this.slack;
	}

	/**
	 * Returns the number of entries that share the rate. Each can send one request more
	 * in a second than its part of the rate, so their number is limited by the excess.
	 * @param entries the number of entries
	 * @return the number of those that may send to one cold server, at least 1
	 */
	int senders(int entries) {
		return (int) Math.max(1, Math.min(entries, Math.floor(bound() - this.perSecond)));
	}

	/**
	 * Returns the least time between two requests of one entry to one cold server.
	 * @param entries the number of entries
	 * @return the time in nanoseconds; {@link Double#POSITIVE_INFINITY} if the bound does
	 * not allow any request
	 */
	double intervalNanos(int entries) {
		int senders = senders(entries);
		double rate = Math.min(this.perSecond, bound() - senders);
		return (rate > 0) ? NANOS_PER_SECOND * senders / rate : Double.POSITIVE_INFINITY;
	}

}

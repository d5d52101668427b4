package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.util.Preconditions;

/**
 * Retry budget of one entry for a service.
 * <p>
 * In each sliding window, retries are limited to a ratio of this entry's own first
 * attempts plus a fixed share of the service's slack. The shares of all entries add up to
 * less than the slack, so the limit for the service holds without coordination, also when
 * entries restart and lose their counts.
 */
public final class ServiceRetryBudget {

	/**
	 * Each entry uses one of its two shares of the slack; the other is the reserve for
	 * entries that restart or join.
	 */
	private static final double SHARES_PER_ENTRY = 2;

	/** Retries stay below the ratio because some first attempts may not arrive. */
	private static final double RATIO_SHARE = 0.8;

	/** The share of the budget that requests without a failure may use. */
	private static final double SPARE_SHARE = 0.5;

	private final double ratio;

	private final double slack;

	private final long windowNanos;

	private final Deque<Long> firstAttempts = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	/**
	 * Creates a retry budget.
	 * @param ratio retries allowed per first attempt
	 * @param slack additional retries allowed per window, over all entries
	 * @param window the length of the sliding window
	 */
	public ServiceRetryBudget(double ratio, double slack, Duration window) {
		Preconditions.check(ratio >= 0, "ratio must not be negative: %s", ratio);
		Preconditions.check(slack >= 0, "slack must not be negative: %s", slack);
		this.ratio = ratio;
		this.slack = slack;
		this.windowNanos = Preconditions.notNull(window, "window").toNanos();
	}

	/**
	 * Records a first attempt.
	 * @param now the current time in nanoseconds
	 */
	public void recordFirstAttempt(long now) {
		this.firstAttempts.addLast(now);
		expire(now);
	}

	/**
	 * Consumes one retry of the budget if one is left.
	 * @param entries the number of known entries
	 * @param now the current time in nanoseconds
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean tryAcquire(int entries, long now) {
		return tryAcquire(1, entries, now);
	}

	/**
	 * Consumes one retry of the budget if enough are left for requests that have failed.
	 * @param entries the number of known entries
	 * @param now the current time in nanoseconds
	 * @return {@code false} if most of the budget is used
	 */
	public boolean tryAcquireSpare(int entries, long now) {
		return tryAcquire(SPARE_SHARE, entries, now);
	}

	private boolean tryAcquire(double share, int entries, long now) {
		expire(now);
		double allowed = RATIO_SHARE * this.ratio * this.firstAttempts.size()
				+ this.slack / (SHARES_PER_ENTRY * Math.max(1, entries));
		if (this.retries.size() + 1 > share * allowed) {
			return false;
		}
		this.retries.addLast(now);
		return true;
	}

	private void expire(long now) {
		expire(this.firstAttempts, now);
		expire(this.retries, now);
	}

	private void expire(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() > this.windowNanos) {
			times.removeFirst();
		}
	}

}

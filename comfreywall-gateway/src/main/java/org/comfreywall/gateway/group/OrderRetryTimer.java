package org.comfreywall.gateway.group;

import java.util.HashMap;
import java.util.Map;

/**
 * Schedules the orders to each rank: an order is due at once, and again after a fixed
 * interval until {@link #reset} is called.
 */
final class OrderRetryTimer {

	private final long retryIntervalNanos;

	private final Map<Integer, Long> sentAtByRank = new HashMap<>();

	/**
	 * Creates a timer without any orders sent.
	 * @param retryIntervalNanos the interval in nanoseconds
	 */
	OrderRetryTimer(long retryIntervalNanos) {
		this.retryIntervalNanos = retryIntervalNanos;
	}

	/**
	 * Returns whether the order to a rank is due now, and if so records it as sent.
	 * @param rank the rank
	 * @param now the current time in nanoseconds
	 * @return {@code true} if the order is due
	 */
	boolean markSentIfDue(int rank, long now) {
		Long last = this.sentAtByRank.get(rank);
		if (last != null && now - last < this.retryIntervalNanos) {
			return false;
		}
		this.sentAtByRank.put(rank, now);
		return true;
	}

	/**
	 * Records that an order was answered, so that it is due again only much later.
	 * @param rank the rank that answered it
	 * @param dueAt when it is due again if it is still needed, in nanoseconds
	 */
	void markAnswered(int rank, long dueAt) {
		this.sentAtByRank.put(rank, dueAt - this.retryIntervalNanos);
	}

	/**
	 * Records that an order was not answered, so that it is due again at once.
	 * @param rank the rank that it was sent to
	 */
	void markUnanswered(int rank) {
		this.sentAtByRank.remove(rank);
	}

	/**
	 * Clears all send times, so that the first orders of the next phase are due at once.
	 */
	void reset() {
		this.sentAtByRank.clear();
	}

}

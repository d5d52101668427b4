package org.comfreywall.gateway.group;

import java.util.HashMap;
import java.util.Map;

/**
 * Schedules the orders to each rank: the first is due at once, and it is due again after
 * a fixed time without an answer.
 */
final class OrderRetryTimer {

	private final long repeatNanos;

	private final Map<Integer, Long> sentAt = new HashMap<>();

	/**
	 * Creates a timer without any orders sent.
	 * @param repeatNanos the time in nanoseconds after which an unanswered order is
	 * resent
	 */
	OrderRetryTimer(long repeatNanos) {
		this.repeatNanos = repeatNanos;
	}

	/**
	 * Returns whether the order to a rank is due now, and if so records it as sent.
	 * @param rank the rank
	 * @param now the present time in nanoseconds
	 * @return {@code true} if the order is due
	 */
	boolean markSentIfDue(int rank, long now) {
		Long last = this.sentAt.get(rank);
		if (last != null && now - last < this.repeatNanos) {
			return false;
		}
		this.sentAt.put(rank, now);
		return true;
	}

	/**
	 * Records that an order was lost, so that it is due again at once.
	 * @param rank the rank
	 */
	void markLost(int rank) {
		this.sentAt.remove(rank);
	}

	/**
	 * Clears all send times, as other orders follow.
	 */
	void reset() {
		this.sentAt.clear();
	}

}

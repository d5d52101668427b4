package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tracks the sum of the grants that have not expired, and its peak.
 */
final class UnexpiredGrants {

	private final PriorityQueue<Grant> grants = new PriorityQueue<>(Comparator.comparingLong(Grant::expiresAt));

	private long total;

	private long peak;

	void add(long amount, long expiresAt, long now) {
		while (!this.grants.isEmpty() && this.grants.peek().expiresAt() <= now) {
			this.total -= this.grants.poll().amount();
		}
		if (amount > 0 && expiresAt > now) {
			this.grants.add(new Grant(amount, expiresAt));
			this.total += amount;
			this.peak = Math.max(this.peak, this.total);
		}
	}

	long peak() {
		return this.peak;
	}

	private record Grant(long amount, long expiresAt) {

	}

}

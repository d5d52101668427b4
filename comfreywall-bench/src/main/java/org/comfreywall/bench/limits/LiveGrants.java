package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tracks the sum of the grants that have not expired, and its peak.
 */
final class LiveGrants {

	private final PriorityQueue<Grant> grants = new PriorityQueue<>(Comparator.comparingLong(Grant::expiresAt));

	private long total;

	private long most;

	void add(long amount, long expiresAt, long now) {
		while (!this.grants.isEmpty() && this.grants.peek().expiresAt() <= now) {
			this.total -= this.grants.poll().amount();
		}
		if (amount > 0 && expiresAt > now) {
			this.grants.add(new Grant(amount, expiresAt));
			this.total += amount;
			this.most = Math.max(this.most, this.total);
		}
	}

	long most() {
		return this.most;
	}

	private record Grant(long amount, long expiresAt) {

	}

}

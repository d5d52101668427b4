package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Sums up the granted amounts that a holder may still spend.
 */
final class LiveGrants {

	private final PriorityQueue<Grant> grants = new PriorityQueue<>(Comparator.comparingLong(Grant::until));

	private long live;

	private long most;

	void add(long amount, long until, long now) {
		while (!this.grants.isEmpty() && this.grants.peek().until() <= now) {
			this.live -= this.grants.poll().amount();
		}
		if (amount > 0 && until > now) {
			this.grants.add(new Grant(amount, until));
			this.live += amount;
			this.most = Math.max(this.most, this.live);
		}
	}

	long most() {
		return this.most;
	}

	private record Grant(long amount, long until) {

	}

}

package org.comfreywall.entry.admit;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.id.AccountId;

/**
 * The queued requests of one client account in one priority class.
 */
final class AccountQueue {

	private final AccountId account;

	private final double weight;

	private final Deque<QueuedRequest> requests = new ArrayDeque<>();

	private double finishTag;

	private double cost;

	AccountQueue(AccountId account, double weight) {
		this.account = account;
		this.weight = weight;
	}

	void add(QueuedRequest queued) {
		this.requests.addLast(queued);
		this.cost += queued.request().cost();
	}

	QueuedRequest poll() {
		QueuedRequest queued = this.requests.removeFirst();
		this.cost -= queued.request().cost();
		return queued;
	}

	QueuedRequest newest() {
		return this.requests.getLast();
	}

	void remove(QueuedRequest queued) {
		if (this.requests.remove(queued)) {
			this.cost -= queued.request().cost();
		}
	}

	AccountId account() {
		return this.account;
	}

	double weight() {
		return this.weight;
	}

	double finishTag() {
		return this.finishTag;
	}

	void setFinishTag(double tag) {
		this.finishTag = tag;
	}

	double cost() {
		return this.cost;
	}

	int size() {
		return this.requests.size();
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

}

package org.comfreywall.entry.admit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.comfreywall.common.id.AccountId;

/**
 * The queue of one priority class, which serves its client accounts by weighted fair
 * queueing: the account with the lowest virtual finish time is served next.
 */
final class ClassQueue {

	private static final Comparator<AccountQueue> BY_TAG = Comparator.comparingDouble(AccountQueue::tag)
		.thenComparing(AccountQueue::account);

	private static final Comparator<AccountQueue> BY_SIZE = Comparator.comparingInt(AccountQueue::size)
		.thenComparing(AccountQueue::account);

	private final AccountWeights weights;

	private final Map<AccountId, AccountQueue> accounts = new HashMap<>();

	private final TreeSet<AccountQueue> order = new TreeSet<>(BY_TAG);

	private final TreeSet<AccountQueue> sizes = new TreeSet<>(BY_SIZE);

	private double virtualTime;

	private double cost;

	ClassQueue(AccountWeights weights) {
		this.weights = weights;
	}

	void add(QueuedRequest queued) {
		AccountId account = queued.request().account();
		AccountQueue queue = this.accounts.get(account);
		if (queue == null) {
			queue = new AccountQueue(account, this.weights.weight(account));
			queue.advanceTo(this.virtualTime + queued.request().cost() / queue.weight());
			this.accounts.put(account, queue);
			this.order.add(queue);
		}
		this.sizes.remove(queue);
		queue.add(queued);
		this.sizes.add(queue);
		this.cost += queued.request().cost();
	}

	Optional<QueuedRequest> poll() {
		AccountQueue queue = this.order.pollFirst();
		if (queue == null) {
			return Optional.empty();
		}
		this.virtualTime = Math.max(this.virtualTime, queue.tag());
		this.sizes.remove(queue);
		QueuedRequest queued = queue.poll();
		this.cost -= queued.request().cost();
		queue.advanceTo(this.virtualTime + queued.request().cost() / queue.weight());
		this.order.add(queue);
		this.sizes.add(queue);
		dropIfEmpty(queue);
		return Optional.of(queued);
	}

	void remove(QueuedRequest queued) {
		AccountQueue queue = this.accounts.get(queued.request().account());
		this.sizes.remove(queue);
		queue.remove(queued);
		this.sizes.add(queue);
		this.cost -= queued.request().cost();
		dropIfEmpty(queue);
	}

	/**
	 * Returns the newest request of the client account with the most queued requests.
	 * @return the request, or empty if the queue is empty
	 */
	Optional<QueuedRequest> newestOfLongest() {
		return this.sizes.isEmpty() ? Optional.empty() : Optional.of(this.sizes.last().newest());
	}

	int longest() {
		return this.sizes.isEmpty() ? 0 : this.sizes.last().size();
	}

	int size(AccountId account) {
		AccountQueue queue = this.accounts.get(account);
		return (queue != null) ? queue.size() : 0;
	}

	/**
	 * Estimates the work to be done before a new request of a client account starts,
	 * assuming equal weights.
	 * @param account the client account
	 * @param requestCost the new request's cost
	 * @return the cost of the requests of this class ahead of it
	 */
	double costAhead(AccountId account, double requestCost) {
		AccountQueue queue = this.accounts.get(account);
		double own = ((queue != null) ? queue.cost() : 0) + requestCost;
		int others = this.accounts.size() - ((queue != null) ? 1 : 0);
		return Math.min(this.cost, own + own * others);
	}

	double cost() {
		return this.cost;
	}

	boolean isEmpty() {
		return this.accounts.isEmpty();
	}

	private void dropIfEmpty(AccountQueue queue) {
		if (queue.isEmpty()) {
			this.accounts.remove(queue.account());
			this.order.remove(queue);
			this.sizes.remove(queue);
		}
		if (this.accounts.isEmpty()) {
			this.cost = 0;
			this.virtualTime = 0;
		}
	}

}

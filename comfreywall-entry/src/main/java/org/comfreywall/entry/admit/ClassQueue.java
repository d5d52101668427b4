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

	private static final Comparator<AccountQueue> BY_FINISH_TAG = Comparator.comparingDouble(AccountQueue::finishTag)
		.thenComparing(AccountQueue::account);

	private static final Comparator<AccountQueue> BY_SIZE = Comparator.comparingInt(AccountQueue::size)
		.thenComparing(AccountQueue::account);

	private final AccountWeights weights;

	private final Map<AccountId, AccountQueue> accounts = new HashMap<>();

	private final TreeSet<AccountQueue> byFinishTag = new TreeSet<>(BY_FINISH_TAG);

	private final TreeSet<AccountQueue> bySize = new TreeSet<>(BY_SIZE);

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
			queue.setFinishTag(this.virtualTime + queued.request().cost() / queue.weight());
			this.accounts.put(account, queue);
			this.byFinishTag.add(queue);
		}
		this.bySize.remove(queue);
		queue.add(queued);
		this.bySize.add(queue);
		this.cost += queued.request().cost();
	}

	Optional<QueuedRequest> poll() {
		AccountQueue queue = this.byFinishTag.pollFirst();
		if (queue == null) {
			return Optional.empty();
		}
		this.virtualTime = Math.max(this.virtualTime, queue.finishTag());
		this.bySize.remove(queue);
		QueuedRequest queued = queue.poll();
		this.cost -= queued.request().cost();
		queue.setFinishTag(this.virtualTime + queued.request().cost() / queue.weight());
		this.byFinishTag.add(queue);
		this.bySize.add(queue);
		removeIfEmpty(queue);
		return Optional.of(queued);
	}

	void remove(QueuedRequest queued) {
		AccountQueue queue = this.accounts.get(queued.request().account());
		this.bySize.remove(queue);
		queue.remove(queued);
		this.bySize.add(queue);
		this.cost -= queued.request().cost();
		removeIfEmpty(queue);
	}

	/**
	 * Returns the newest request of the client account with the most queued requests.
	 * @return the request, or empty if the queue is empty
	 */
	Optional<QueuedRequest> newestOfLongestQueue() {
		return this.bySize.isEmpty() ? Optional.empty() : Optional.of(this.bySize.last().newest());
	}

	int longestQueueSize() {
		return this.bySize.isEmpty() ? 0 : this.bySize.last().size();
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

	private void removeIfEmpty(AccountQueue queue) {
		if (queue.isEmpty()) {
			this.accounts.remove(queue.account());
			this.byFinishTag.remove(queue);
			this.bySize.remove(queue);
		}
		if (this.accounts.isEmpty()) {
			this.cost = 0;
			this.virtualTime = 0;
		}
	}

}

package org.comfreywall.entry.admit;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;

/**
 * All queued requests, by priority class and by the expiry of their time in queue.
 */
final class RequestQueue {

	private static final Comparator<QueuedRequest> BY_EXPIRY = Comparator.comparingLong(QueuedRequest::expiresAt)
		.thenComparingLong(QueuedRequest::arrivalNumber);

	private static final PriorityClass[] CLASSES = PriorityClass.values();

	private final Map<PriorityClass, ClassQueue> classes = new EnumMap<>(PriorityClass.class);

	private final Map<RequestId, QueuedRequest> byId = new HashMap<>();

	private final TreeSet<QueuedRequest> byExpiry = new TreeSet<>(BY_EXPIRY);

	private long lastArrivalNumber;

	RequestQueue(AccountWeights weights) {
		for (PriorityClass priority : CLASSES) {
			this.classes.put(priority, new ClassQueue(weights));
		}
	}

	void add(AdmissionRequest request, long now, long expiresAt) {
		this.lastArrivalNumber++;
		QueuedRequest queued = new QueuedRequest(request, this.lastArrivalNumber, now, expiresAt);
		this.classes.get(request.priority()).add(queued);
		this.byId.put(request.id(), queued);
		this.byExpiry.add(queued);
	}

	/**
	 * Removes the next request to start: the highest class first, by weighted fair
	 * queueing between the client accounts within it.
	 * @return the request, or empty if none is queued
	 */
	Optional<QueuedRequest> poll() {
		for (PriorityClass priority : CLASSES) {
			Optional<QueuedRequest> queued = this.classes.get(priority).poll();
			if (queued.isPresent()) {
				removeFromIndexes(queued.get());
				return queued;
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes a request whose time in queue has expired.
	 * @param now the time in nanoseconds
	 * @return the request, or empty if there is none
	 */
	Optional<QueuedRequest> pollExpired(long now) {
		if (this.byExpiry.isEmpty() || this.byExpiry.first().expiresAt() > now) {
			return Optional.empty();
		}
		return remove(this.byExpiry.first().request().id());
	}

	Optional<QueuedRequest> remove(RequestId id) {
		QueuedRequest queued = this.byId.get(id);
		if (queued == null) {
			return Optional.empty();
		}
		this.classes.get(queued.request().priority()).remove(queued);
		removeFromIndexes(queued);
		return Optional.of(queued);
	}

	/**
	 * Finds the queued request that a new one displaces when the queue is full: one of
	 * the lowest class below its own, otherwise one of the same class from the client
	 * account with the most queued requests, if that has more than the new one's account.
	 * @param request the new request
	 * @return the request to displace, or empty if the new one is to be refused
	 */
	Optional<QueuedRequest> findDisplaceable(AdmissionRequest request) {
		for (int i = CLASSES.length - 1; i > request.priority().ordinal(); i--) {
			Optional<QueuedRequest> newest = this.classes.get(CLASSES[i]).newestOfLongestQueue();
			if (newest.isPresent()) {
				return newest;
			}
		}
		ClassQueue same = this.classes.get(request.priority());
		return (same.longestQueueSize() > same.size(request.account()) + 1) ? same.newestOfLongestQueue()
				: Optional.empty();
	}

	double costAhead(AdmissionRequest request) {
		double higher = 0;
		for (int i = 0; i < request.priority().ordinal(); i++) {
			higher += this.classes.get(CLASSES[i]).cost();
		}
		return higher + costAhead(request.priority(), request.account(), request.cost());
	}

	int size() {
		return this.byId.size();
	}

	boolean contains(RequestId id) {
		return this.byId.containsKey(id);
	}

	private double costAhead(PriorityClass priority, AccountId account, double cost) {
		return this.classes.get(priority).costAhead(account, cost);
	}

	private void removeFromIndexes(QueuedRequest queued) {
		this.byId.remove(queued.request().id());
		this.byExpiry.remove(queued);
	}

}

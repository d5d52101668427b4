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
final class WaitingRequests {

	private static final Comparator<QueuedRequest> BY_END = Comparator.comparingLong(QueuedRequest::until)
		.thenComparingLong(QueuedRequest::number);

	private static final PriorityClass[] CLASSES = PriorityClass.values();

	private final Map<PriorityClass, ClassQueue> classes = new EnumMap<>(PriorityClass.class);

	private final Map<RequestId, QueuedRequest> byId = new HashMap<>();

	private final TreeSet<QueuedRequest> byEnd = new TreeSet<>(BY_END);

	private long number;

	WaitingRequests(AccountWeights weights) {
		for (PriorityClass priority : CLASSES) {
			this.classes.put(priority, new ClassQueue(weights));
		}
	}

	void add(AdmissionRequest request, long now, long expiresAt) {
		this.number++;
		QueuedRequest queued = new QueuedRequest(request, this.number, now, expiresAt);
		this.classes.get(request.priority()).add(queued);
		this.byId.put(request.id(), queued);
		this.byEnd.add(queued);
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
				forget(queued.get());
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
	Optional<QueuedRequest> pollEnded(long now) {
		if (this.byEnd.isEmpty() || this.byEnd.first().until() > now) {
			return Optional.empty();
		}
		return remove(this.byEnd.first().request().id());
	}

	Optional<QueuedRequest> remove(RequestId id) {
		QueuedRequest queued = this.byId.get(id);
		if (queued == null) {
			return Optional.empty();
		}
		this.classes.get(queued.request().priority()).remove(queued);
		forget(queued);
		return Optional.of(queued);
	}

	/**
	 * Finds the queued request that a new one displaces when the queue is full: one of
	 * the lowest class below its own, otherwise one of the same class from the client
	 * account with the most queued requests, if that has more than the new one's account.
	 * @param request the new request
	 * @return the request to displace, or empty if the new one is to be refused
	 */
	Optional<QueuedRequest> displacedBy(AdmissionRequest request) {
		for (int i = CLASSES.length - 1; i > request.priority().ordinal(); i--) {
			Optional<QueuedRequest> newest = this.classes.get(CLASSES[i]).newestOfLongest();
			if (newest.isPresent()) {
				return newest;
			}
		}
		ClassQueue same = this.classes.get(request.priority());
		return (same.longest() > same.size(request.account()) + 1) ? same.newestOfLongest() : Optional.empty();
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

	private void forget(QueuedRequest queued) {
		this.byId.remove(queued.request().id());
		this.byEnd.remove(queued);
	}

}

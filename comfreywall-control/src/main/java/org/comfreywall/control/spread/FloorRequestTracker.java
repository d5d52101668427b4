package org.comfreywall.control.spread;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.InstanceId;

/**
 * Combines the floor requests of a node and its children, so that at most one request to
 * the parent is outstanding.
 * <p>
 * A response completes only the requests that arrived before the outstanding request was
 * sent. For a later request the floor could have been read before the requesting node
 * started, and would be too old for it.
 */
final class FloorRequestTracker {

	private final RandomGenerator random;

	private Map<InstanceId, Long> waiting = new HashMap<>();

	private Map<InstanceId, Long> outstanding = new HashMap<>();

	private boolean selfWaiting = true;

	private boolean selfOutstanding;

	private long outstandingNonce;

	FloorRequestTracker(RandomGenerator random) {
		this.random = random;
	}

	long outstandingNonce() {
		return this.outstandingNonce;
	}

	/**
	 * Adds a child's request.
	 * @param child the child
	 * @param childNonce the nonce of the child's request
	 * @return {@code true} if a new request must be sent to the parent
	 */
	boolean addRequest(InstanceId child, long childNonce) {
		if (Long.valueOf(childNonce).equals(this.outstanding.get(child))) {
			return false;
		}
		this.waiting.put(child, childNonce);
		return startNextRequest();
	}

	/**
	 * Combines the waiting requests into a new one, unless there are none or a request is
	 * outstanding.
	 * @return {@code true} if a new request must be sent to the parent
	 */
	boolean startNextRequest() {
		if (this.outstandingNonce != 0 || (this.waiting.isEmpty() && !this.selfWaiting)) {
			return false;
		}
		this.outstandingNonce = nextNonce();
		this.outstanding = this.waiting;
		this.waiting = new HashMap<>();
		this.selfOutstanding = this.selfWaiting;
		this.selfWaiting = false;
		return true;
	}

	/**
	 * Completes the outstanding request if a response belongs to it.
	 * @param responseNonce the nonce of the response
	 * @return the completed requests, or none if the response belongs to another request
	 */
	CompletedRequests completeRequest(long responseNonce) {
		if (responseNonce == 0 || responseNonce != this.outstandingNonce) {
			return new CompletedRequests(false, Map.of());
		}
		CompletedRequests result = new CompletedRequests(this.selfOutstanding, this.outstanding);
		this.outstandingNonce = 0;
		this.outstanding = new HashMap<>();
		this.selfOutstanding = false;
		return result;
	}

	void removeChild(InstanceId child) {
		this.waiting.remove(child);
		this.outstanding.remove(child);
	}

	private long nextNonce() {
		long next = this.random.nextLong();
		return (next != 0) ? next : 1;
	}

	/**
	 * The requests that a response has completed.
	 *
	 * @param self whether this node's own request is completed
	 * @param children the nonces of the completed requests by child
	 */
	record CompletedRequests(boolean self, Map<InstanceId, Long> children) {

	}

}

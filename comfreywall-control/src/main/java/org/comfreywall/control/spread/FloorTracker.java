package org.comfreywall.control.spread;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.InstanceId;

/**
 * Requests the floor for a node and its children, with one outstanding request at a time.
 * <p>
 * A response is passed only to those whose request arrived before the outstanding one was
 * sent. Any other response could have been confirmed before the requesting node started,
 * and would then be too old for it.
 */
final class FloorTracker {

	private final RandomGenerator random;

	private Map<InstanceId, Long> waiting = new HashMap<>();

	private Map<InstanceId, Long> outstanding = new HashMap<>();

	private boolean selfWaiting = true;

	private boolean selfOutstanding;

	private long nonce;

	FloorTracker(RandomGenerator random) {
		this.random = random;
	}

	long nonce() {
		return this.nonce;
	}

	/**
	 * Adds a child's request.
	 * @param child the child
	 * @param request the nonce of the child's request
	 * @return {@code true} if a new request must be sent to the parent
	 */
	boolean addRequest(InstanceId child, long request) {
		if (Long.valueOf(request).equals(this.outstanding.get(child))) {
			return false;
		}
		this.waiting.put(child, request);
		return startNextRequest();
	}

	/**
	 * Combines the waiting requests into a new one unless a request is outstanding.
	 * @return {@code true} if a new request must be sent to the parent
	 */
	boolean startNextRequest() {
		if (this.nonce != 0 || (this.waiting.isEmpty() && !this.selfWaiting)) {
			return false;
		}
		this.nonce = nextNonce();
		this.outstanding = this.waiting;
		this.waiting = new HashMap<>();
		this.selfOutstanding = this.selfWaiting;
		this.selfWaiting = false;
		return true;
	}

	/**
	 * Completes the outstanding request.
	 * @param answered the nonce of the response
	 * @return the requests that the response completes; none if the nonce is not that of
	 * the outstanding request
	 */
	CompletedRequests completeRequest(long answered) {
		if (answered == 0 || answered != this.nonce) {
			return new CompletedRequests(false, Map.of());
		}
		CompletedRequests result = new CompletedRequests(this.selfOutstanding, this.outstanding);
		this.nonce = 0;
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
	 * The requests that a response completes.
	 *
	 * @param self whether this node's own request is among them
	 * @param children the children with the nonces of their requests
	 */
	record CompletedRequests(boolean self, Map<InstanceId, Long> children) {

	}

}

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

	private Map<InstanceId, Long> covered = new HashMap<>();

	private boolean selfWaiting = true;

	private boolean selfCovered;

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
	boolean ask(InstanceId child, long request) {
		if (Long.valueOf(request).equals(this.covered.get(child))) {
			return false;
		}
		this.waiting.put(child, request);
		return advance();
	}

	/**
	 * Combines the waiting requests into a new one unless a request is outstanding.
	 * @return {@code true} if a new request must be sent to the parent
	 */
	boolean advance() {
		if (this.nonce != 0 || (this.waiting.isEmpty() && !this.selfWaiting)) {
			return false;
		}
		this.nonce = nextNonce();
		this.covered = this.waiting;
		this.waiting = new HashMap<>();
		this.selfCovered = this.selfWaiting;
		this.selfWaiting = false;
		return true;
	}

	/**
	 * Completes the outstanding request.
	 * @param answered the nonce of the response
	 * @return the requests that the response completes; none if the nonce is not that of
	 * the outstanding request
	 */
	Answered answer(long answered) {
		if (answered == 0 || answered != this.nonce) {
			return new Answered(false, Map.of());
		}
		Answered result = new Answered(this.selfCovered, this.covered);
		this.nonce = 0;
		this.covered = new HashMap<>();
		this.selfCovered = false;
		return result;
	}

	void forget(InstanceId child) {
		this.waiting.remove(child);
		this.covered.remove(child);
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
	record Answered(boolean self, Map<InstanceId, Long> children) {

	}

}

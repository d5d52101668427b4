package org.comfreywall.control.spread;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.InstanceId;

/**
 * Asks for the floor on behalf of a node and its children, with one question at a time.
 * <p>
 * An answer serves only those who asked before the question was sent on, so that what
 * they learn was confirmed by a quorum after they had started.
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
	 * Adds a child's question.
	 * @param child the child
	 * @param question the child's number
	 * @return {@code true} if a new question must be sent on
	 */
	boolean ask(InstanceId child, long question) {
		if (Long.valueOf(question).equals(this.covered.get(child))) {
			return false;
		}
		this.waiting.put(child, question);
		return advance();
	}

	/**
	 * Sends on the waiting questions unless one is outstanding.
	 * @return {@code true} if a new question must be sent on
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
	 * Takes an answer.
	 * @param answered the number of the question
	 * @return whom it serves, by their own numbers; empty if the question is not the
	 * outstanding one
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
	 * Whom an answer serves.
	 *
	 * @param self whether it serves this node
	 * @param children the children with their numbers
	 */
	record Answered(boolean self, Map<InstanceId, Long> children) {

	}

}

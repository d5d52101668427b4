package org.comfreywall.control.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The open orders of one engine; only the first one may have been sent.
 */
final class OrderQueue {

	private final Deque<EngineOrder> orders = new ArrayDeque<>();

	private boolean headSent;

	private long headSentAt;

	private int attempts;

	int size() {
		return this.orders.size();
	}

	boolean endsWith(EngineOrder order) {
		return !this.orders.isEmpty() && this.orders.getLast().hasSameContent(order);
	}

	void add(EngineOrder order) {
		this.orders.addLast(order);
	}

	EngineOrder head() {
		return this.orders.getFirst();
	}

	void markSent(EngineOrder order, long now) {
		this.attempts = this.headSent ? this.attempts + 1 : 0;
		this.orders.removeFirst();
		this.orders.addFirst(order);
		this.headSent = true;
		this.headSentAt = now;
	}

	EngineOrder remove() {
		this.headSent = false;
		return this.orders.removeFirst();
	}

	List<EngineOrder> drain() {
		List<EngineOrder> drained = new ArrayList<>(this.orders);
		this.orders.clear();
		this.headSent = false;
		return drained;
	}

	boolean isHeadSent() {
		return this.headSent;
	}

	long headSentAt() {
		return this.headSentAt;
	}

	int attempts() {
		return this.attempts;
	}

}

package org.comfreywall.bench.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event queue: runs scheduled actions in order of simulated time and counts each
 * as a step.
 */
final class EventQueue {

	private final PriorityQueue<Scheduled> queue = new PriorityQueue<>(
			Comparator.comparingLong(Scheduled::time).thenComparingLong(Scheduled::order));

	private long now;

	private long steps;

	long now() {
		return this.now;
	}

	long steps() {
		return this.steps;
	}

	void after(long nanos, Runnable action) {
		this.queue.add(new Scheduled(this.now + nanos, this.steps + this.queue.size(), action));
	}

	void runNext() {
		Scheduled next = this.queue.remove();
		this.now = next.time();
		this.steps++;
		next.action().run();
	}

	/** An action, its time in nanoseconds and its order of insertion. */
	private record Scheduled(long time, long order, Runnable action) {

	}

}

package org.comfreywall.bench.mapswitch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their virtual time.
 */
final class EventQueue {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::at).thenComparingLong(Entry::order));

	private long now;

	private long order;

	long now() {
		return this.now;
	}

	void after(long delayNanos, Runnable action) {
		this.order++;
		this.entries.add(new Entry(this.now + delayNanos, this.order, action));
	}

	void runNext() {
		Entry next = this.entries.remove();
		this.now = next.at();
		next.action().run();
	}

	private record Entry(long at, long order, Runnable action) {

	}

}

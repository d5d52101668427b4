package org.comfreywall.bench.mapswitch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Schedules actions in virtual time. Actions due at the same time run in the order in
 * which they were scheduled.
 */
final class EventQueue {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::timeNanos).thenComparingLong(Entry::sequence));

	private long now;

	private long lastSequence;

	long now() {
		return this.now;
	}

	void schedule(long delayNanos, Runnable action) {
		this.lastSequence++;
		this.entries.add(new Entry(this.now + delayNanos, this.lastSequence, action));
	}

	void runNext() {
		Entry next = this.entries.remove();
		this.now = next.timeNanos();
		next.action().run();
	}

	private record Entry(long timeNanos, long sequence, Runnable action) {

	}

}

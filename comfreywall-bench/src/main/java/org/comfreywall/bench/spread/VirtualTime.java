package org.comfreywall.bench.spread;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event queue that runs actions in order of virtual time.
 */
final class VirtualTime {

	private static final Comparator<Entry> ORDER = Comparator.comparingLong(Entry::at)
		.thenComparingLong(Entry::sequence);

	private final PriorityQueue<Entry> queue = new PriorityQueue<>(ORDER);

	private long now;

	private long sequence;

	private long processed;

	long now() {
		return this.now;
	}

	long processed() {
		return this.processed;
	}

	void after(long delayNanos, Runnable action) {
		this.queue.add(new Entry(this.now + delayNanos, this.sequence++, action));
	}

	void runUntil(long until) {
		while (!this.queue.isEmpty() && this.queue.peek().at() <= until) {
			Entry entry = this.queue.poll();
			this.now = entry.at();
			this.processed++;
			entry.action().run();
		}
		this.now = until;
	}

	private record Entry(long at, long sequence, Runnable action) {

	}

}

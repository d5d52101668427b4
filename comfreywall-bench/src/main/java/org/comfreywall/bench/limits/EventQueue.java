package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their true time.
 */
final class EventQueue {

	private static final Comparator<Event> ORDER = Comparator.comparingLong(Event::time)
		.thenComparingLong(Event::number);

	private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);

	private long number;

	private long now;

	void at(long time, Runnable action) {
		this.number++;
		this.events.add(new Event(Math.max(time, this.now), this.number, action));
	}

	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	void runUntil(long time) {
		while (!this.events.isEmpty() && this.events.peek().time() <= time) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = time;
	}

	long now() {
		return this.now;
	}

	private record Event(long time, long number, Runnable action) {

	}

}

package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their true time.
 */
public final class EventQueue {

	private static final Comparator<Event> ORDER = Comparator.comparingLong(Event::time)
		.thenComparingLong(Event::number);

	private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);

	private long number;

	private long now;

	/**
	 * Adds an event.
	 * @param time its true time in nanoseconds
	 * @param action what happens
	 */
	public void at(long time, Runnable action) {
		this.number++;
		this.events.add(new Event(Math.max(time, this.now), this.number, action));
	}

	/**
	 * Adds an event.
	 * @param nanos the time until it happens in nanoseconds
	 * @param action what happens
	 */
	public void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	/**
	 * Runs the events up to a time.
	 * @param time the true time in nanoseconds
	 */
	public void runUntil(long time) {
		while (!this.events.isEmpty() && this.events.peek().time() <= time) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = time;
	}

	/**
	 * Returns the true time.
	 * @return the time in nanoseconds
	 */
	public long now() {
		return this.now;
	}

	private record Event(long time, long number, Runnable action) {

	}

}

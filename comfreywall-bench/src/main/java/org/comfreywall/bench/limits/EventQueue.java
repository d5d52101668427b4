package org.comfreywall.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of a discrete-event simulation. Runs events in order of their true
 * time, and events of the same time in the order in which they were added.
 */
public final class EventQueue {

	private static final Comparator<Event> ORDER = Comparator.comparingLong(Event::time)
		.thenComparingLong(Event::number);

	private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);

	private long lastNumber;

	private long now;

	/**
	 * Schedules an event at a time. An event in the past is due at once.
	 * @param time the true time in nanoseconds
	 * @param action the action to run
	 */
	public void schedule(long time, Runnable action) {
		this.lastNumber++;
		this.events.add(new Event(Math.max(time, this.now), this.lastNumber, action));
	}

	/**
	 * Schedules an event after a delay.
	 * @param delayNanos the delay in nanoseconds
	 * @param action the action to run
	 */
	public void scheduleAfter(long delayNanos, Runnable action) {
		schedule(this.now + delayNanos, action);
	}

	/**
	 * Runs all events that are due up to a time, which becomes the current time.
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
	 * Returns the current true time.
	 * @return the time in nanoseconds
	 */
	public long now() {
		return this.now;
	}

	private record Event(long time, long number, Runnable action) {

	}

}

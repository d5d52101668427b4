package org.comfreywall.bench.request;

import java.time.Duration;

/**
 * Decides when simulated processes and backend servers fail.
 */
interface Faults {

	/**
	 * Decides whether an entry crashes immediately after handling an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesEntry(Class<?> event);

	/**
	 * Decides whether a sidecar crashes immediately after handling an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesSidecar(Class<?> event);

	/**
	 * Decides whether a backend server crashes immediately after its sidecar has handled
	 * an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesBackend(Class<?> event);

	/**
	 * Decides whether a backend server aborts an answer instead of producing its next
	 * part.
	 * @return whether it aborts the answer
	 */
	boolean abortsAnswer();

	/**
	 * Returns the time a backend server takes to produce the next part of an answer.
	 * @return the delay
	 */
	Duration answerPartDelay();

}

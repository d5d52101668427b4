package org.comfreywall.bench.request;

import java.time.Duration;

/**
 * Decides about faults of processes and backend servers.
 */
interface Faults {

	/**
	 * Decides whether an entry crashes right after it handled an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesEntry(Class<?> event);

	/**
	 * Decides whether a sidecar crashes right after it handled an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesSidecar(Class<?> event);

	/**
	 * Decides whether a backend server crashes right after its sidecar handled an event.
	 * @param event the kind of event
	 * @return whether it crashes
	 */
	boolean crashesBackend(Class<?> event);

	/**
	 * Decides whether the backend server breaks an answer off instead of its next part.
	 * @return whether it does
	 */
	boolean breaksAnswer();

	/**
	 * Returns how long the backend server takes for the next part of an answer.
	 * @return the time
	 */
	Duration partTime();

}

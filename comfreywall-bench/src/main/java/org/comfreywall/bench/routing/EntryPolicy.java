package org.comfreywall.bench.routing;

import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.route.LoadReport;

/**
 * The way in which one entry instance chooses workers.
 */
interface EntryPolicy {

	/**
	 * Chooses the worker of an arrival, which is then sent there.
	 * @param arrival the arrival
	 * @param now the present time in nanoseconds
	 * @return the worker's index
	 */
	int choose(Arrival arrival, long now);

	default void firstToken(Arrival arrival, long now) {
	}

	default void finished(Arrival arrival, int worker, long now) {
	}

	default void reported(int worker, LoadReport report, long now) {
	}

	/**
	 * Takes in a cache event.
	 * @param worker the worker's index
	 * @param event the event
	 * @param now the present time in nanoseconds
	 * @return whether the worker is asked for a snapshot
	 */
	default boolean cacheChanged(int worker, CacheEvent event, long now) {
		return false;
	}

}

package org.comfreywall.bench.routing;

import org.comfreywall.entry.prefix.CacheEvent;
import org.comfreywall.entry.route.LoadReport;

/**
 * The load-balancing policy of one entry instance.
 */
interface LoadBalancingPolicy {

	/**
	 * Chooses the backend server to which a request is then sent.
	 * @param arrival the request
	 * @param now the current time in nanoseconds
	 * @return the index of the backend server
	 */
	int choose(Arrival arrival, long now);

	/**
	 * Handles the first token of an answer.
	 * @param arrival the request
	 * @param now the current time in nanoseconds
	 */
	default void onFirstToken(Arrival arrival, long now) {
	}

	/**
	 * Handles the end of an answer.
	 * @param arrival the request
	 * @param server the index of the backend server
	 * @param now the current time in nanoseconds
	 */
	default void onFinished(Arrival arrival, int server, long now) {
	}

	/**
	 * Handles a load report of a backend server.
	 * @param server the index of the backend server
	 * @param report the load report
	 * @param now the current time in nanoseconds
	 */
	default void onLoadReport(int server, LoadReport report, long now) {
	}

	/**
	 * Handles a cache event of a backend server.
	 * @param server the index of the backend server
	 * @param event the event
	 * @param now the current time in nanoseconds
	 * @return whether to request a snapshot of the cache from the backend server
	 */
	default boolean onCacheEvent(int server, CacheEvent event, long now) {
		return false;
	}

}

package org.comfreywall.bench.routing;

import org.comfreywall.entry.prefix.CacheEvent;

/**
 * Receives the events of simulated backend servers.
 */
interface ServerListener {

	/**
	 * Handles the first token of a request.
	 * @param server the index of the backend server
	 * @param sequence the request on the backend server
	 * @param now the current time in nanoseconds
	 */
	void onFirstToken(int server, Sequence sequence, long now);

	/**
	 * Handles the end of a request.
	 * @param server the index of the backend server
	 * @param sequence the request on the backend server
	 * @param now the current time in nanoseconds
	 */
	void onFinished(int server, Sequence sequence, long now);

	/**
	 * Handles a change of the prefix cache.
	 * @param server the index of the backend server
	 * @param event the change
	 * @param now the current time in nanoseconds
	 */
	void onCacheEvent(int server, CacheEvent event, long now);

}

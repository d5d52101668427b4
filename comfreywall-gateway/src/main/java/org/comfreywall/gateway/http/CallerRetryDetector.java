package org.comfreywall.gateway.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Heuristic that distinguishes retries of refused requests from new requests: a retry
 * states a shorter deadline than the route's callers state in their first request.
 */
final class CallerRetryDetector {

	/**
	 * A request is taken for a retry if its timeout is below this share of the longest
	 * one of the route.
	 */
	private static final double RETRY_SHARE = 0.975;

	private static final int MAX_ROUTES = 2_000;

	private final Map<String, Long> longest = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_ROUTES;
		}

	};

	/**
	 * Records the timeout that a request states, and returns whether it is probably a
	 * retry.
	 * @param route the route's name
	 * @param millis the timeout that the caller states, in milliseconds
	 * @return {@code true} if the request is probably a retry
	 */
	boolean isProbableRetry(String route, long millis) {
		long known = this.longest.merge(route, millis, Math::max);
		return millis < RETRY_SHARE * known;
	}

}

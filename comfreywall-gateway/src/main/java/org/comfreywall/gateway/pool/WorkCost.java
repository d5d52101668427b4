package org.comfreywall.gateway.pool;

/**
 * The cost of sending a request to a server, by the work in flight there.
 */
@FunctionalInterface
interface WorkCost {

	/**
	 * Returns the cost.
	 * @param server a server with a free slot
	 * @param size the request's size
	 * @param now the current time in nanoseconds
	 * @return the cost in nanoseconds
	 */
	double nanos(PoolServer server, RequestSize size, long now);

}

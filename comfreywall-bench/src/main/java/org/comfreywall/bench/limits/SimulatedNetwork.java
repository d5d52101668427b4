package org.comfreywall.bench.limits;

import java.util.List;

/**
 * Simulates the network between entry instances and grantors: decides whether, when and
 * how often a message is delivered.
 */
@FunctionalInterface
interface SimulatedNetwork {

	/**
	 * Returns the delays after which the copies of one message are delivered.
	 * @param entry the index of the entry instance
	 * @param grantor the index of the grantor, 0 for the primary grantor
	 * @return the delay of each copy in nanoseconds, empty if the message is lost
	 */
	List<Long> deliveryDelays(int entry, int grantor);

}

package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.List;

/**
 * Decides which messages are lost or duplicated and when each copy arrives.
 */
interface Network {

	/**
	 * Returns the delay of each copy of a message.
	 * @param from the sender
	 * @param to the receiver
	 * @return one delay for each copy; empty if the message is lost
	 */
	List<Duration> deliveryDelays(Node from, Node to);

}

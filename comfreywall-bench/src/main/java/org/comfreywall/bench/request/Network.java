package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.List;

/**
 * Decides when each copy of a message arrives.
 */
interface Network {

	/**
	 * Plans one message.
	 * @param from the sender
	 * @param to the receiver
	 * @return the delay of each copy; empty if the message is lost
	 */
	List<Duration> plan(Node from, Node to);

}

package org.comfreywall.bench.spread;

import java.util.OptionalLong;

import org.comfreywall.control.spread.NodeDescriptor;

/**
 * Simulates delay, loss and duplication of messages.
 */
interface Network {

	/**
	 * Returns the delay after which a message is delivered.
	 * @param from the sender
	 * @param to the receiver
	 * @return the delay in nanoseconds, or empty if the message is lost
	 */
	OptionalLong delay(NodeDescriptor from, NodeDescriptor to);

	/**
	 * Returns whether a message is delivered a second time.
	 * @return {@code true} if it is delivered twice
	 */
	default boolean duplicates() {
		return false;
	}

}

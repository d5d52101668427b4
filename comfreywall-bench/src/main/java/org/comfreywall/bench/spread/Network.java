package org.comfreywall.bench.spread;

import java.util.OptionalLong;

import org.comfreywall.control.spread.NodeDescriptor;

/**
 * Decides the fate of each message.
 */
interface Network {

	/**
	 * Decides when a message arrives.
	 * @param from the sender
	 * @param to the receiver
	 * @return the delay in nanoseconds, or empty if the message is lost
	 */
	OptionalLong delay(NodeDescriptor from, NodeDescriptor to);

	/**
	 * Tells whether a message arrives a second time.
	 * @return {@code true} to deliver it twice
	 */
	default boolean duplicates() {
		return false;
	}

}

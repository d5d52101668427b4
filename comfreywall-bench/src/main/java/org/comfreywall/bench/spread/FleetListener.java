package org.comfreywall.bench.spread;

import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.SpreadCommand;
import org.comfreywall.control.spread.SpreadMessage;

/**
 * Watches a fleet from outside the cores.
 */
interface FleetListener {

	/** Watches nothing. */
	FleetListener NONE = new FleetListener() {
	};

	/**
	 * Called for each command but messages.
	 * @param node the node that gave it
	 * @param command the command
	 */
	default void onCommand(FleetNode node, SpreadCommand command) {
	}

	/**
	 * Called for each message that a node sends.
	 * @param from the sender
	 * @param to the receiver
	 * @param message the message
	 */
	default void onSent(NodeDescriptor from, NodeDescriptor to, SpreadMessage message) {
	}

	/**
	 * Called for each message that arrives.
	 * @param from the sender
	 * @param to the receiver
	 * @param message the message
	 */
	default void onDelivered(NodeDescriptor from, NodeDescriptor to, SpreadMessage message) {
	}

}

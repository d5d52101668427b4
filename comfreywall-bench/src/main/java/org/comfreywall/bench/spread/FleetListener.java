package org.comfreywall.bench.spread;

import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.RelayTreeCommand;
import org.comfreywall.control.spread.RelayTreeMessage;

/**
 * Receives the commands and messages of all nodes of a fleet.
 */
interface FleetListener {

	/** Ignores all commands and messages. */
	FleetListener NONE = new FleetListener() {
	};

	/**
	 * Called for each command of a core except to send a message.
	 * @param node the node whose core issued the command
	 * @param command the command
	 */
	default void onCommand(FleetNode node, RelayTreeCommand command) {
	}

	/**
	 * Called for each message that a node sends.
	 * @param from the sender
	 * @param to the receiver
	 * @param message the message
	 */
	default void onSent(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
	}

	/**
	 * Called for each message delivered to a running node.
	 * @param from the sender
	 * @param to the receiver
	 * @param message the message
	 */
	default void onDelivered(NodeDescriptor from, NodeDescriptor to, RelayTreeMessage message) {
	}

}

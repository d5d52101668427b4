package org.comfreywall.control.runtime;

import org.comfreywall.control.log.PeerMessage;

/**
 * Sends messages to other control instances.
 */
@FunctionalInterface
public interface PeerSender {

	/**
	 * Sends a message to {@link PeerMessage#to()}. Called on the control node's thread:
	 * must not block and must not throw. The message may be lost.
	 * @param message the message
	 */
	void send(PeerMessage message);

}

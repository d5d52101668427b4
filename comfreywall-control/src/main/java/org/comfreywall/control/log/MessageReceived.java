package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * A peer's message has arrived.
 *
 * @param message the message
 */
public record MessageReceived(PeerMessage message) implements LogEvent {

	public MessageReceived {
		Preconditions.notNull(message, "message");
	}

}

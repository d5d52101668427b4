package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * Send a message to a peer; delivery is not guaranteed.
 *
 * @param message the message
 */
public record SendMessage(PeerMessage message) implements LogCommand {

	public SendMessage {
		Preconditions.notNull(message, "message");
	}

}

package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A command is to be replicated.
 *
 * @param proposal identifies the proposal in the answer
 * @param command the encoded command
 */
public record CommandProposed(long proposal, Bytes command) implements LogEvent {

	public CommandProposed {
		Preconditions.notNull(command, "command");
	}

}

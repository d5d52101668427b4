package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A command for the state machine.
 *
 * @param command the encoded command
 */
public record CommandContent(Bytes command) implements EntryContent {

	public CommandContent {
		Preconditions.notNull(command, "command");
	}

}

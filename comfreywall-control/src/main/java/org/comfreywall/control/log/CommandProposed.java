package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A command is proposed for replication.
 *
 * @param proposal identifies the proposal in {@link ProposalAccepted} or
 * {@link ProposalRefused}
 * @param command the encoded command
 */
public record CommandProposed(long proposal, Bytes command) implements LogEvent {

	public CommandProposed {
		Preconditions.notNull(command, "command");
	}

}

package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * A proposal was appended to the leader's log. It is committed once an entry with the
 * same index and term is applied.
 *
 * @param proposal the proposal
 * @param position the position of its entry
 */
public record ProposalAccepted(long proposal, LogPosition position) implements LogCommand {

	public ProposalAccepted {
		Preconditions.notNull(position, "position");
	}

}

package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * A proposal has its place in the log; it is committed if an entry with this very
 * position is applied.
 *
 * @param proposal the proposal
 * @param position its position
 */
public record ProposalAccepted(long proposal, LogPosition position) implements LogCommand {

	public ProposalAccepted {
		Preconditions.notNull(position, "position");
	}

}

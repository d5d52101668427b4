package org.comfreywall.control.log;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * A proposal was not taken into the log.
 *
 * @param proposal the proposal
 * @param error why
 */
public record ProposalRefused(long proposal, OperationError error) implements LogCommand {

	public ProposalRefused {
		Preconditions.notNull(error, "error");
	}

}

package org.comfreywall.control.log;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * A proposal was not appended to the log.
 *
 * @param proposal the proposal
 * @param error the reason
 */
public record ProposalRefused(long proposal, OperationError error) implements LogCommand {

	public ProposalRefused {
		Preconditions.notNull(error, "error");
	}

}

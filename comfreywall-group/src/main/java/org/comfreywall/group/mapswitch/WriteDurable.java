package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The ledger applied a write, and the result is durable on a quorum.
 *
 * @param write the write
 * @param result its result
 */
public record WriteDurable(LedgerWrite write, LedgerResult result) implements CoordinatorEvent {

	public WriteDurable {
		Preconditions.notNull(write, "write");
		Preconditions.notNull(result, "result");
	}

}

package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * Sends a write to the replicated ledger; repeated until its result is received.
 *
 * @param write the write
 */
public record WriteLedger(LedgerWrite write) implements CoordinatorCommand {

	public WriteLedger {
		Preconditions.notNull(write, "write");
	}

}

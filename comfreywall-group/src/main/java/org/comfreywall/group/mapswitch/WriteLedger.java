package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * Writes to the replicated ledger; repeated until the result is known.
 *
 * @param write the write
 */
public record WriteLedger(LedgerWrite write) implements CoordinatorCommand {

	public WriteLedger {
		Preconditions.notNull(write, "write");
	}

}

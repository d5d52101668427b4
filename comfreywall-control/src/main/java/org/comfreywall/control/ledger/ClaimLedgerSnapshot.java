package org.comfreywall.control.ledger;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The whole state of a {@link ClaimLedger}.
 *
 * @param logTime the log time of the last call in nanoseconds
 * @param entries the claims in the order of their log time
 */
public record ClaimLedgerSnapshot(long logTime, List<ClaimEntry> entries) {

	public ClaimLedgerSnapshot {
		Preconditions.check(logTime >= 0, "logTime must not be negative: %d", logTime);
		entries = List.copyOf(entries);
	}

}

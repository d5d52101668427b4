package org.comfreywall.control.ledger;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * The whole state of a {@link PoisonLedger}.
 *
 * @param logTime the log time of the last call in nanoseconds
 * @param entries the entries in the order of their last change
 * @param slot the holder of the slot for isolated runs, or empty if it is free
 */
public record PoisonLedgerSnapshot(long logTime, List<PoisonEntry> entries, Optional<IsolationSlot> slot) {

	public PoisonLedgerSnapshot {
		Preconditions.check(logTime >= 0, "logTime must not be negative: %d", logTime);
		entries = List.copyOf(entries);
		Preconditions.notNull(slot, "slot");
	}

}

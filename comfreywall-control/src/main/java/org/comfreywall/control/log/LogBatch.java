package org.comfreywall.control.log;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Records to be written and synced together.
 *
 * @param hardState the new term and vote, or empty if unchanged
 * @param entries the new entries; the first one replaces any entry of the same or a
 * greater index
 */
public record LogBatch(Optional<HardState> hardState, List<LogEntry> entries) {

	public LogBatch {
		Preconditions.notNull(hardState, "hardState");
		entries = List.copyOf(entries);
	}

}

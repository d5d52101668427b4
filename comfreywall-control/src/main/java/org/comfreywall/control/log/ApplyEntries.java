package org.comfreywall.control.log;

import java.util.List;

/**
 * Apply committed entries to the state machine.
 *
 * @param entries the entries, in order and without gaps
 */
public record ApplyEntries(List<LogEntry> entries) implements LogCommand {

	public ApplyEntries {
		entries = List.copyOf(entries);
	}

}

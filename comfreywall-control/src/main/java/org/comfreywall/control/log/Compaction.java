package org.comfreywall.control.log;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A snapshot to be saved together with the part of the log that is kept.
 *
 * @param snapshot the snapshot
 * @param base the position before the first entry kept
 * @param hardState the term and vote
 * @param entries the entries kept; they replace the whole log
 */
public record Compaction(Snapshot snapshot, LogPosition base, HardState hardState, List<LogEntry> entries) {

	public Compaction {
		Preconditions.notNull(snapshot, "snapshot");
		Preconditions.notNull(base, "base");
		Preconditions.notNull(hardState, "hardState");
		entries = List.copyOf(entries);
	}

}

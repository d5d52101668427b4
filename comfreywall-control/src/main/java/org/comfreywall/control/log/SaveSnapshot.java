package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * Save a snapshot, sync it and report {@link BatchSynced}.
 *
 * @param sequence the sequence number to report
 * @param compaction the snapshot and the part of the log that is kept
 * @param restore whether the state machine must be restored from it
 */
public record SaveSnapshot(long sequence, Compaction compaction, boolean restore) implements LogCommand {

	public SaveSnapshot {
		Preconditions.notNull(compaction, "compaction");
	}

}

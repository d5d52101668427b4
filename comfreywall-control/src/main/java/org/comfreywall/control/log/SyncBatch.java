package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * Write a batch, sync it and report {@link BatchSynced}.
 *
 * @param sequence the sequence number to report
 * @param batch the batch
 */
public record SyncBatch(long sequence, LogBatch batch) implements LogCommand {

	public SyncBatch {
		Preconditions.notNull(batch, "batch");
	}

}

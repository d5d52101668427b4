package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * The state machine has encoded its state for a snapshot.
 *
 * @param index the last applied index included
 * @param state the encoded state
 */
public record SnapshotTaken(long index, Bytes state) implements LogEvent {

	public SnapshotTaken {
		Preconditions.notNull(state, "state");
	}

}

package org.comfreywall.control.spread;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Hands a child a whole state.
 *
 * @param stream the stream
 * @param rootTerm the newest term known to the sender
 * @param snapshot the state
 */
public record SnapshotUpdate(StreamId stream, Term rootTerm, Snapshot snapshot) implements SpreadMessage {

	public SnapshotUpdate {
		Preconditions.notNull(stream, "stream");
		Preconditions.notNull(rootTerm, "rootTerm");
		Preconditions.notNull(snapshot, "snapshot");
	}

}

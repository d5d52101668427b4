package org.comfreywall.control.spread;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A message to a child with a snapshot of a stream.
 *
 * @param stream the stream
 * @param rootTerm the latest leader term that the sender has received
 * @param snapshot the snapshot
 */
public record SnapshotUpdate(StreamId stream, Term rootTerm, Snapshot snapshot) implements RelayTreeMessage {

	public SnapshotUpdate {
		Preconditions.notNull(stream, "stream");
		Preconditions.notNull(rootTerm, "rootTerm");
		Preconditions.notNull(snapshot, "snapshot");
	}

}

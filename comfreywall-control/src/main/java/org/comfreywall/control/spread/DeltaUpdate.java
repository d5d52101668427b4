package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A message to a child with consecutive deltas of a stream.
 *
 * @param stream the stream
 * @param rootTerm the latest leader term that the sender has received
 * @param deltas the deltas, oldest first
 */
public record DeltaUpdate(StreamId stream, Term rootTerm, List<Delta> deltas) implements RelayTreeMessage {

	public DeltaUpdate {
		Preconditions.notNull(stream, "stream");
		Preconditions.notNull(rootTerm, "rootTerm");
		deltas = List.copyOf(deltas);
	}

}

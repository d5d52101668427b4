package org.comfreywall.control.log;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Replicates entries from the leader to a follower; without entries, it is a heartbeat or
 * probes for the last matching position.
 *
 * @param previous the position before the first entry
 * @param commitIndex the leader's commit index
 * @param sentNanos the leader's monotonic clock reading when it sent the message, in
 * nanoseconds
 * @param entries the entries
 */
public record AppendRequest(LogPosition previous, long commitIndex, long sentNanos,
		List<LogEntry> entries) implements PeerBody {

	public AppendRequest {
		Preconditions.notNull(previous, "previous");
		entries = List.copyOf(entries);
	}

}

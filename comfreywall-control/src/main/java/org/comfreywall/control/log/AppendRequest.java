package org.comfreywall.control.log;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Carries entries, and as a heartbeat none, from the leader.
 *
 * @param previous the position before the first entry
 * @param commitIndex the leader's commit index
 * @param sentNanos the leader's own clock, in nanoseconds, when it sent the message
 * @param entries the entries
 */
public record AppendRequest(LogPosition previous, long commitIndex, long sentNanos,
		List<LogEntry> entries) implements PeerBody {

	public AppendRequest {
		Preconditions.notNull(previous, "previous");
		entries = List.copyOf(entries);
	}

}

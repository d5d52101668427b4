package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * One chunk of an encoded snapshot.
 *
 * @param position the snapshot's position
 * @param offset the offset of the chunk in bytes
 * @param data the content of the chunk
 * @param last whether it is the last chunk
 * @param sentNanos the leader's monotonic clock reading when it sent the message, in
 * nanoseconds
 */
public record SnapshotChunk(LogPosition position, long offset, Bytes data, boolean last,
		long sentNanos) implements PeerBody {

	public SnapshotChunk {
		Preconditions.notNull(position, "position");
		Preconditions.notNull(data, "data");
	}

}

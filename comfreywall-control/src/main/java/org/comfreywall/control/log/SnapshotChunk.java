package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * Carries a part of an encoded snapshot.
 *
 * @param position the snapshot's position
 * @param offset the offset of the part in bytes
 * @param data the part
 * @param last whether it is the last part
 * @param sentNanos the leader's own clock, in nanoseconds, when it sent the message
 */
public record SnapshotChunk(LogPosition position, long offset, Bytes data, boolean last,
		long sentNanos) implements PeerBody {

	public SnapshotChunk {
		Preconditions.notNull(position, "position");
		Preconditions.notNull(data, "data");
	}

}

package org.comfreywall.control.log;

/**
 * The reply to a {@link SnapshotChunk}.
 *
 * @param index the index of the snapshot's position
 * @param nextOffset the number of bytes received so far, and so the offset of the next
 * chunk
 * @param installed whether the snapshot is installed and synced to disk
 * @param sentNanos the leader's clock reading copied from the chunk, in nanoseconds
 */
public record SnapshotReply(long index, long nextOffset, boolean installed, long sentNanos) implements PeerBody {

}

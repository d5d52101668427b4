package org.comfreywall.control.log;

/**
 * Answers {@link SnapshotChunk}.
 *
 * @param index the index of the snapshot's position
 * @param nextOffset the number of bytes held so far
 * @param installed whether the snapshot is installed on synced disk
 * @param sentNanos the clock reading carried by the chunk
 */
public record SnapshotReply(long index, long nextOffset, boolean installed, long sentNanos) implements PeerBody {

}

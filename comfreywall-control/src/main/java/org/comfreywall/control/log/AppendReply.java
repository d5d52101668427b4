package org.comfreywall.control.log;

/**
 * Answers {@link AppendRequest}.
 *
 * @param accepted whether the log held the position before the entries
 * @param index if accepted, the last index known to match and synced; otherwise the last
 * index that may match
 * @param sentNanos the clock reading carried by the request
 */
public record AppendReply(boolean accepted, long index, long sentNanos) implements PeerBody {

}

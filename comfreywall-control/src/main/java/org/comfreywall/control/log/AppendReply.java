package org.comfreywall.control.log;

/**
 * The reply to an {@link AppendRequest}.
 *
 * @param accepted whether the follower's log contains the position before the entries
 * @param index if accepted, the last index known to match and synced; otherwise the last
 * index that may match
 * @param sentNanos the leader's clock reading copied from the request, in nanoseconds
 */
public record AppendReply(boolean accepted, long index, long sentNanos) implements PeerBody {

}

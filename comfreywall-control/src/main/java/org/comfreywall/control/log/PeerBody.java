package org.comfreywall.control.log;

/**
 * The body of a message between control instances.
 */
public sealed interface PeerBody
		permits VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TransferRequest {

}

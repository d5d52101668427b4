package org.comfreywall.control.log;

/**
 * What a message between control instances says.
 */
public sealed interface PeerBody
		permits VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TransferRequest {

}

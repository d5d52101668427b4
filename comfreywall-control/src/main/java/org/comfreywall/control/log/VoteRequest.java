package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;

/**
 * Requests a vote. The term of the message is the one in which the candidate would lead.
 *
 * @param preVote whether it is a pre-vote request, which changes neither the term nor a
 * vote
 * @param leaderTransfer whether the leader transfers its leadership to the candidate, so
 * that the voter need not wait for its lease
 * @param last the last position of the candidate's log
 * @param sentNanos the candidate's monotonic clock reading at the start of the pre-vote
 * round, in nanoseconds; copied into the reply
 * @param voterIncarnation if all voters have reported an incarnation in which they
 * neither voted nor followed a leader, the incarnation that the receiver reported;
 * otherwise 0
 */
public record VoteRequest(boolean preVote, boolean leaderTransfer, LogPosition last, long sentNanos,
		long voterIncarnation) implements PeerBody {

	public VoteRequest {
		Preconditions.notNull(last, "last");
	}

}

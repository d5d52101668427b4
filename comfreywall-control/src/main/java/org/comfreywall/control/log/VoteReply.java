package org.comfreywall.control.log;

/**
 * Answers a request for a vote.
 *
 * @param preVote whether only the readiness to vote was asked for
 * @param granted whether the vote is given
 */
public record VoteReply(boolean preVote, boolean granted) implements PeerBody {

}

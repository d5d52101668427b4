package org.comfreywall.control.log;

/**
 * The reply to a {@link VoteRequest}.
 *
 * @param preVote whether it replies to a pre-vote request
 * @param granted whether the vote is granted
 * @param sentNanos the candidate's clock reading copied from the request, in nanoseconds
 * @param incarnation in a pre-vote reply, the voter's incarnation if it has neither voted
 * nor followed a leader since its start and would vote for the candidate, apart from a
 * lease that may depend on replies sent before its restart; otherwise 0
 */
public record VoteReply(boolean preVote, boolean granted, long sentNanos, long incarnation) implements PeerBody {

}

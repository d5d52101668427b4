package org.comfreywall.control.log;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Requests votes as a candidate and answers vote requests as a voter. A pre-vote round
 * precedes each campaign.
 * <p>
 * If all voters have restarted, no leader lease can be in force and the election need not
 * wait for the election timeout. A voter is <em>fresh</em> while it has neither voted nor
 * followed a leader since its process started. Fresh voters report their incarnation in
 * the pre-vote reply. A candidate that has collected the incarnations of all voters
 * returns each one in the vote request, so that a voter which restarted or followed a
 * leader in the meantime still waits.
 */
final class ElectionHandler {

	private final ReplicaState state;

	/** Voters that granted the current pre-vote or vote request, at most the members. */
	private final Set<InstanceId> granted = new HashSet<>();

	/**
	 * Incarnations of the voters that reported being fresh in the current pre-vote round,
	 * at most the members.
	 */
	private final Map<InstanceId, Long> freshVoters = new HashMap<>();

	private long preVoteSentAt;

	private boolean ownVoteSynced;

	ElectionHandler(ReplicaState state) {
		this.state = state;
	}

	void onTime(long now) {
		boolean due = this.state.electionDue(now);
		if (due) {
			this.state.resetElectionDeadline(now);
		}
		else if (!this.state.earlyPreVoteDue(now)) {
			return;
		}
		this.state.scheduleEarlyPreVote(now);
		if (this.state.isVoter()) {
			startPreVote(due, now);
		}
	}

	// Sends pre-vote requests, which change no term and so do not disturb a leader that
	// others still follow. Before the election timeout this voter does not count its own
	// vote, because a leader's lease may depend on a reply sent before the restart; the
	// campaign then requires that all voters are fresh.
	private void startPreVote(boolean due, long now) {
		this.preVoteSentAt = now;
		this.granted.clear();
		this.freshVoters.clear();
		if (this.state.isMembershipCommitted() && this.state.isFresh(now)) {
			this.freshVoters.put(this.state.self(), this.state.incarnation());
		}
		if (due) {
			this.granted.add(this.state.self());
		}
		this.state.changeRole(Role.PRE_CANDIDATE, Optional.empty());
		VoteRequest request = new VoteRequest(true, false, this.state.log().lastPosition(), now, 0);
		forEachOtherVoter((peer) -> this.state.send(peer, this.state.term().next(), request));
		startCampaignIfReady(now);
	}

	private void startCampaignIfReady(long now) {
		if (this.state.role() != Role.PRE_CANDIDATE) {
			return;
		}
		boolean allFresh = now - this.preVoteSentAt < this.state.settings().preVoteRound().toNanos()
				&& this.state.isFresh(now) && allVotersFresh();
		boolean mayVoteItself = this.granted.contains(this.state.self());
		if (allFresh || mayVoteItself && hasQuorum()) {
			startCampaign(false, allFresh ? Map.copyOf(this.freshVoters) : Map.of());
		}
	}

	private void startCampaign(boolean leaderTransfer, Map<InstanceId, Long> incarnations) {
		this.granted.clear();
		this.ownVoteSynced = false;
		this.state.adoptTerm(this.state.term().next(), Optional.of(this.state.self()));
		this.state.changeRole(Role.CANDIDATE, Optional.empty());
		LogPosition last = this.state.log().lastPosition();
		forEachOtherVoter((peer) -> this.state.sendSynced(peer,
				new VoteRequest(false, leaderTransfer, last, this.preVoteSentAt, incarnations.getOrDefault(peer, 0L))));
	}

	/**
	 * Counts the candidate's own vote once it is synced to disk.
	 * @return whether the election is won
	 */
	boolean onSynced() {
		if (this.state.role() != Role.CANDIDATE || this.ownVoteSynced || !this.state.syncs().hardStateSynced()) {
			return false;
		}
		this.ownVoteSynced = true;
		this.granted.add(this.state.self());
		return hasQuorum();
	}

	void onTransfer(PeerMessage message, long now) {
		boolean fromLeader = this.state.leader().filter(message.from()::equals).isPresent();
		if (message.term().equals(this.state.term()) && fromLeader && this.state.isVoter()) {
			this.state.resetElectionDeadline(now);
			startCampaign(true, Map.of());
		}
	}

	void onRequest(PeerMessage message, VoteRequest request, long now) {
		boolean fresh = this.state.isFresh(now);
		boolean allVotersFresh = fresh && request.voterIncarnation() == this.state.incarnation();
		boolean noLease = request.leaderTransfer() || allVotersFresh || !this.state.leaderMayHoldLease(now);
		if (request.preVote()) {
			onPreVoteRequest(message, request, noLease, fresh, now);
		}
		else if (!noLease) {
			refuseVote(message, request);
		}
		else {
			onVoteRequest(message, request, now);
		}
	}

	private void onPreVoteRequest(PeerMessage message, VoteRequest request, boolean noLease, boolean fresh, long now) {
		boolean mayVote = this.state.term().isBefore(message.term()) && isLogUpToDate(request);
		VoteReply reply = new VoteReply(true, mayVote && noLease, request.sentNanos(),
				(mayVote && fresh) ? this.state.incarnation() : 0);
		boolean supportsCandidate = reply.granted() || reply.incarnation() != 0;
		if (supportsCandidate) {
			this.state.scheduleEarlyPreVote(now);
		}
		this.state.send(message.from(), supportsCandidate ? message.term() : this.state.term(), reply);
	}

	private void onVoteRequest(PeerMessage message, VoteRequest request, long now) {
		if (this.state.term().isBefore(message.term())) {
			this.state.becomeFollower(message.term(), Optional.empty());
		}
		if (!mayVoteFor(message.from(), message.term()) || !isLogUpToDate(request)) {
			refuseVote(message, request);
			return;
		}
		this.state.adoptTerm(message.term(), Optional.of(message.from()));
		this.state.changeRole(Role.FOLLOWER, Optional.empty());
		this.state.resetElectionDeadline(now);
		this.state.sendSynced(message.from(), new VoteReply(false, true, request.sentNanos(), 0));
	}

	private boolean mayVoteFor(InstanceId candidate, Term term) {
		HardState hardState = this.state.hardState();
		return hardState.term().equals(term)
				&& hardState.votedFor().filter((voted) -> !voted.equals(candidate)).isEmpty();
	}

	private boolean isLogUpToDate(VoteRequest request) {
		return request.last().isAtLeast(this.state.log().lastPosition());
	}

	private void refuseVote(PeerMessage message, VoteRequest request) {
		this.state.send(message.from(), new VoteReply(request.preVote(), false, request.sentNanos(), 0));
	}

	// Counts a vote or pre-vote and returns whether the election is won.
	boolean onReply(PeerMessage message, VoteReply reply, long now) {
		boolean isVoter = this.state.log().membership().isVoter(message.from(), message.fromStorageId());
		if (!isVoter) {
			return false;
		}
		if (reply.preVote()) {
			countPreVote(message, reply, now);
			return false;
		}
		if (!reply.granted() || this.state.role() != Role.CANDIDATE || !message.term().equals(this.state.term())) {
			return false;
		}
		this.granted.add(message.from());
		return this.ownVoteSynced && hasQuorum();
	}

	private void countPreVote(PeerMessage message, VoteReply reply, long now) {
		if (this.state.role() == Role.PRE_CANDIDATE && message.term().equals(this.state.term().next())) {
			if (reply.granted()) {
				this.granted.add(message.from());
			}
			if (reply.incarnation() != 0 && reply.sentNanos() == this.preVoteSentAt) {
				this.freshVoters.put(message.from(), reply.incarnation());
			}
			startCampaignIfReady(now);
		}
	}

	private boolean allVotersFresh() {
		return this.state.log()
			.membership()
			.voters()
			.stream()
			.map(Member::instance)
			.allMatch(this.freshVoters::containsKey);
	}

	private boolean hasQuorum() {
		Membership membership = this.state.log().membership();
		long votes = membership.voters().stream().filter((voter) -> this.granted.contains(voter.instance())).count();
		return votes >= membership.quorum();
	}

	private void forEachOtherVoter(Consumer<InstanceId> action) {
		this.state.log()
			.membership()
			.voters()
			.stream()
			.map(Member::instance)
			.filter((peer) -> !peer.equals(this.state.self()))
			.forEach(action);
	}

}

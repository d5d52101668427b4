package org.comfreywall.control.log;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Stands for election and gives votes.
 */
final class ElectionHandler {

	private final ReplicaState state;

	/** Voters that granted the present campaign; at most the members. */
	private final Set<InstanceId> granted = new HashSet<>();

	private boolean ownVoteSynced;

	ElectionHandler(ReplicaState state) {
		this.state = state;
	}

	void onTime(long now) {
		if (!this.state.electionDue(now)) {
			return;
		}
		this.state.resetElectionDeadline(now);
		if (this.state.isVoter()) {
			startPreVote();
		}
	}

	/**
	 * Asks whether others would vote, without disturbing a leader they may hear.
	 */
	private void startPreVote() {
		this.granted.clear();
		this.granted.add(this.state.self());
		this.state.changeRole(Role.PRE_CANDIDATE, Optional.empty());
		VoteRequest request = new VoteRequest(true, false, this.state.log().last());
		others((peer) -> this.state.send(peer, this.state.term().next(), request));
		startCampaignIfReady();
	}

	private void startCampaignIfReady() {
		if (this.state.role() == Role.PRE_CANDIDATE && hasQuorum()) {
			startCampaign(false);
		}
	}

	private void startCampaign(boolean leaderTransfer) {
		this.granted.clear();
		this.ownVoteSynced = false;
		this.state.adoptTerm(this.state.term().next(), Optional.of(this.state.self()));
		this.state.changeRole(Role.CANDIDATE, Optional.empty());
		VoteRequest request = new VoteRequest(false, leaderTransfer, this.state.log().last());
		others((peer) -> this.state.sendSynced(peer, request));
	}

	/**
	 * Counts the own vote once it is on synced disk.
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
			startCampaign(true);
		}
	}

	void onRequest(PeerMessage message, VoteRequest request, long now) {
		if (!request.leaderTransfer() && this.state.leaderMayHoldLease(now)) {
			refuse(message, request);
		}
		else if (request.preVote()) {
			onPreVoteRequest(message, request);
		}
		else {
			onVoteRequest(message, request, now);
		}
	}

	private void onPreVoteRequest(PeerMessage message, VoteRequest request) {
		boolean wouldVote = this.state.term().isBefore(message.term()) && isComplete(request);
		this.state.send(message.from(), wouldVote ? message.term() : this.state.term(), new VoteReply(true, wouldVote));
	}

	private void onVoteRequest(PeerMessage message, VoteRequest request, long now) {
		if (this.state.term().isBefore(message.term())) {
			this.state.follow(message.term(), Optional.empty());
		}
		if (!mayVoteFor(message.from(), message.term()) || !isComplete(request)) {
			refuse(message, request);
			return;
		}
		this.state.adoptTerm(message.term(), Optional.of(message.from()));
		this.state.changeRole(Role.FOLLOWER, Optional.empty());
		this.state.resetElectionDeadline(now);
		this.state.sendSynced(message.from(), new VoteReply(false, true));
	}

	private boolean mayVoteFor(InstanceId candidate, Term term) {
		HardState hardState = this.state.hardState();
		return hardState.term().equals(term)
				&& hardState.votedFor().filter((voted) -> !voted.equals(candidate)).isEmpty();
	}

	private boolean isComplete(VoteRequest request) {
		return request.last().isAtLeast(this.state.log().last());
	}

	private void refuse(PeerMessage message, VoteRequest request) {
		this.state.send(message.from(), new VoteReply(request.preVote(), false));
	}

	// Counts a vote.
	boolean onReply(PeerMessage message, VoteReply reply) {
		boolean isVoter = this.state.log().membership().isVoter(message.from(), message.fromStorageId());
		if (!reply.granted() || !isVoter) {
			return false;
		}
		if (reply.preVote()) {
			countPreVote(message);
			return false;
		}
		if (this.state.role() != Role.CANDIDATE || !message.term().equals(this.state.term())) {
			return false;
		}
		this.granted.add(message.from());
		return this.ownVoteSynced && hasQuorum();
	}

	private void countPreVote(PeerMessage message) {
		if (this.state.role() == Role.PRE_CANDIDATE && message.term().equals(this.state.term().next())) {
			this.granted.add(message.from());
			startCampaignIfReady();
		}
	}

	private boolean hasQuorum() {
		Membership membership = this.state.log().membership();
		long votes = membership.voters().stream().filter((voter) -> this.granted.contains(voter.instance())).count();
		return votes >= membership.quorum();
	}

	private void others(Consumer<InstanceId> action) {
		this.state.log()
			.membership()
			.voters()
			.stream()
			.map(Member::instance)
			.filter((peer) -> !peer.equals(this.state.self()))
			.forEach(action);
	}

}

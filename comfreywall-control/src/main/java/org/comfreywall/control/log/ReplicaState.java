package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * The state of one replica, shared by its handlers.
 */
final class ReplicaState {

	private final ReplicaIdentity identity;

	private final LogSettings settings;

	private final RandomGenerator random;

	private final DecisionListener decisions;

	private final Invariants invariants;

	private final EntryLog log;

	private final SyncTracker syncs;

	private List<LogCommand> commands = new ArrayList<>();

	private HardState hardState;

	private Optional<Snapshot> snapshot;

	private Role role = Role.FOLLOWER;

	private Optional<InstanceId> leader = Optional.empty();

	private long commitIndex;

	private long lastLeaderContact;

	private long electionDeadline;

	/** Identifies this run of the process; random and never 0. */
	private final long incarnation;

	private final long startedAt;

	/** Whether this voter has neither voted nor followed a leader since it started. */
	private boolean noVoteOrLeaderYet = true;

	private long earlyPreVoteAt;

	ReplicaState(ReplicaIdentity identity, LogSettings settings, DurableState durable, RandomGenerator random,
			DecisionListener decisions, Invariants invariants, long now) {
		this.identity = Preconditions.notNull(identity, "identity");
		this.settings = Preconditions.notNull(settings, "settings");
		this.random = Preconditions.notNull(random, "random");
		this.decisions = Preconditions.notNull(decisions, "decisions");
		this.invariants = Preconditions.notNull(invariants, "invariants");
		this.log = new EntryLog(durable);
		this.syncs = new SyncTracker(this.log.lastIndex());
		this.hardState = durable.hardState();
		this.snapshot = durable.snapshot();
		this.commitIndex = this.snapshot.map((found) -> found.position().index()).orElse(0L);
		// A leader's lease may depend on a reply sent before a restart until the election
		// timeout has passed.
		this.lastLeaderContact = now;
		this.startedAt = now;
		this.incarnation = (now ^ random.nextLong()) | 1;
		resetElectionDeadline(now);
		scheduleEarlyPreVote(now);
	}

	ReplicaIdentity identity() {
		return this.identity;
	}

	InstanceId self() {
		return this.identity.instance();
	}

	LogSettings settings() {
		return this.settings;
	}

	EntryLog log() {
		return this.log;
	}

	SyncTracker syncs() {
		return this.syncs;
	}

	Term term() {
		return this.hardState.term();
	}

	HardState hardState() {
		return this.hardState;
	}

	Optional<Snapshot> snapshot() {
		return this.snapshot;
	}

	void snapshot(Snapshot snapshot) {
		this.snapshot = Optional.of(snapshot);
	}

	Role role() {
		return this.role;
	}

	Optional<InstanceId> leader() {
		return this.leader;
	}

	long commitIndex() {
		return this.commitIndex;
	}

	boolean isVoter() {
		return this.log.membership().isVoter(self(), this.identity.storageId());
	}

	List<LogCommand> takeCommands() {
		List<LogCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

	void emit(LogCommand command) {
		this.commands.add(command);
	}

	void send(InstanceId to, PeerBody body) {
		emit(new SendMessage(message(to, term(), body)));
	}

	void send(InstanceId to, Term term, PeerBody body) {
		emit(new SendMessage(message(to, term, body)));
	}

	// Sends a message once the present term, vote and entries are synced to disk.
	void sendSynced(InstanceId to, PeerBody body) {
		this.syncs.holdUntilSynced(message(to, term(), body));
	}

	boolean checkInvariant(boolean condition, String invariant, Field... fields) {
		return this.invariants.holds(condition, invariant, fields);
	}

	void recordDecision(DecisionKind kind, String result, Field... inputs) {
		this.decisions.onDecision(DecisionRecord.of(kind, self().value(), result, inputs));
	}

	OperationError notLeader() {
		String message = this.leader.map((found) -> "this instance is not the leader; send the request to " + found)
			.orElse("no leader is known at the moment; try again later");
		return new OperationError(ErrorCode.UNAVAILABLE, Step.REPLICATE, this.leader, message);
	}

	void changeRole(Role next, Optional<InstanceId> nextLeader) {
		if (this.role == next && this.leader.equals(nextLeader)) {
			return;
		}
		this.role = next;
		this.leader = nextLeader;
		emit(new RoleChanged(next, term(), nextLeader));
		recordDecision(DecisionKind.ELECT, next.name().toLowerCase(Locale.ROOT), Field.of("term", term()),
				Field.of("leader", nextLeader.map(InstanceId::value).orElse("none")),
				Field.of("commit-index", this.commitIndex), Field.of("last-index", this.log.lastIndex()));
	}

	void adoptTerm(Term term, Optional<InstanceId> votedFor) {
		if (!checkInvariant(!term.isBefore(term()), "term-never-decreases", Field.of("from", term()),
				Field.of("to", term))) {
			return;
		}
		HardState next = new HardState(term, votedFor);
		this.noVoteOrLeaderYet &= votedFor.isEmpty();
		if (!next.equals(this.hardState)) {
			this.hardState = next;
			this.syncs.hardStateChanged();
		}
	}

	void becomeFollower(Term term, Optional<InstanceId> nextLeader) {
		if (term().isBefore(term)) {
			adoptTerm(term, Optional.empty());
			this.leader = Optional.empty();
		}
		changeRole(Role.FOLLOWER, nextLeader);
	}

	void recordLeaderContact(long now) {
		this.noVoteOrLeaderYet = false;
		this.lastLeaderContact = now;
		resetElectionDeadline(now);
	}

	// Returns whether the last message from a leader is so recent that its lease may
	// still be in force.
	boolean leaderMayHoldLease(long now) {
		return now - this.lastLeaderContact < this.settings.electionTimeout().toNanos();
	}

	long incarnation() {
		return this.incarnation;
	}

	// Returns whether this voter is fresh, so that no leader's lease depends on it: it
	// has neither voted nor followed a leader since its start, it has been running for
	// longer than a pre-vote round takes, and the candidate of its stored vote, if there
	// is one, is a voter, so that it must be fresh as well.
	boolean isFresh(long now) {
		Membership membership = this.log.membership();
		boolean votedForVoter = this.hardState.votedFor()
			.filter((voted) -> membership.voters().stream().map(Member::instance).noneMatch(voted::equals))
			.isEmpty();
		boolean longEnough = now - this.startedAt >= this.settings.minFreshUptime().toNanos();
		return this.noVoteOrLeaderYet && longEnough && votedForVoter;
	}

	// Returns whether the last membership change is committed, so that no other voters
	// exist.
	boolean isMembershipCommitted() {
		return this.log.membershipIndex() <= Math.max(this.commitIndex, BootstrapBatch.INDEX);
	}

	// Returns whether to start a pre-vote round before the election timeout, to find out
	// whether all voters are fresh.
	boolean earlyPreVoteDue(long now) {
		boolean possible = isMembershipCommitted() && isFresh(now) && leaderMayHoldLease(now);
		return possible && now - this.earlyPreVoteAt >= 0;
	}

	// Schedules the next early pre-vote round with a random delay, so that voters which
	// started together do not all start one.
	void scheduleEarlyPreVote(long now) {
		long interval = this.settings.minFreshUptime().toNanos();
		this.earlyPreVoteAt = now + interval + this.random.nextLong(interval);
	}

	boolean electionDue(long now) {
		return now - this.electionDeadline >= 0;
	}

	void resetElectionDeadline(long now) {
		long timeout = this.settings.electionTimeout().toNanos();
		this.electionDeadline = now + timeout + this.random.nextLong(timeout);
	}

	void commitTo(long index) {
		if (index <= this.commitIndex) {
			return;
		}
		if (!checkInvariant(index <= this.log.lastIndex(), "committed-entry-is-held", Field.of("commit-index", index),
				Field.of("last-index", this.log.lastIndex()))) {
			return;
		}
		emit(new ApplyEntries(this.log.range(this.commitIndex + 1, index)));
		this.commitIndex = index;
	}

	void restoreFrom(Snapshot restored) {
		this.snapshot = Optional.of(restored);
		this.commitIndex = restored.position().index();
	}

	private PeerMessage message(InstanceId to, Term term, PeerBody body) {
		return new PeerMessage(self(), this.identity.storageId(), to, term, body);
	}

}

package org.comfreywall.control.log;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * One replica of the replicated log as a deterministic state machine without I/O, threads
 * or a clock.
 * <p>
 * The driver passes events to {@link #handle} and executes the returned commands in
 * order. Entries are written, synced and sent as a batch at {@link BatchEnded}. Messages
 * that depend on durable state, such as votes and acknowledgements, are held back until
 * {@link BatchSynced}. Not thread-safe.
 */
public final class ReplicaCore {

	private final ReplicaState state;

	private final ElectionHandler elections;

	private final FollowerHandler follower;

	private Optional<LeaderHandler> leaderHandler = Optional.empty();

	/**
	 * Creates a replica from the state recovered from its data folder.
	 * @param identity the instance and its data folder
	 * @param settings the settings, the same on all instances
	 * @param durable the recovered state
	 * @param random randomizes the election timeouts
	 * @param decisions receives a record of each role change and membership change
	 * @param invariants checks invariants at run time
	 * @param now the monotonic clock's reading in nanoseconds
	 */
	public ReplicaCore(ReplicaIdentity identity, LogSettings settings, DurableState durable, RandomGenerator random,
			DecisionListener decisions, Invariants invariants, long now) {
		this.state = new ReplicaState(identity, settings, durable, random, decisions, invariants, now);
		this.elections = new ElectionHandler(this.state);
		this.follower = new FollowerHandler(this.state);
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic clock's reading in nanoseconds, never decreasing
	 * @return the commands to carry out, in order
	 */
	public List<LogCommand> handle(LogEvent event, long now) {
		Preconditions.notNull(event, "event");
		if (this.state.role() != Role.DISABLED) {
			dispatch(event, now);
			stopLeadingIfDeposed();
		}
		else {
			refuseDisabled(event);
		}
		return this.state.takeCommands();
	}

	/**
	 * Returns the current status.
	 * @param now the monotonic clock's reading in nanoseconds
	 * @return the status
	 */
	public ReplicaStatus status(long now) {
		boolean holdsLease = holdsLease(now);
		long leaseUntil = holdsLease ? this.leaderHandler.orElseThrow().leaseUntil(now) : now;
		return new ReplicaStatus(this.state.role(), this.state.term(), this.state.leader(), holdsLease, leaseUntil,
				this.state.commitIndex(), this.state.log().lastIndex(), this.state.syncs().syncedIndex(),
				this.state.log().size(), this.state.log().membership());
	}

	/**
	 * Returns whether the instance holds the leader lease: it is the leader and no other
	 * instance can have been elected. Only then may it issue orders.
	 * @param now the monotonic clock's reading in nanoseconds
	 * @return {@code true} while the lease is in force
	 */
	public boolean holdsLease(long now) {
		return this.leaderHandler.filter((leader) -> leader.holdsLease(now)).isPresent();
	}

	private void dispatch(LogEvent event, long now) {
		if (event instanceof MessageReceived received) {
			onMessage(received.message(), now);
		}
		else if (event instanceof CommandProposed proposed) {
			onCommand(proposed.proposal(), proposed.command(), now);
		}
		else if (event instanceof BatchEnded) {
			onBatchEnd(now);
		}
		else if (event instanceof BatchSynced synced) {
			onSynced(synced.sequence(), now);
		}
		else if (event instanceof TimePassed) {
			onTime(now);
		}
		else if (event instanceof ReadRequested read) {
			onRead(read.read(), now);
		}
		else {
			dispatchRare(event, now);
		}
	}

	private void dispatchRare(LogEvent event, long now) {
		if (event instanceof MembershipProposed proposed) {
			onMembership(proposed.proposal(), proposed.change(), now);
		}
		else if (event instanceof SnapshotTaken taken) {
			onSnapshotTaken(taken.index(), taken.state());
		}
		else if (event instanceof TransferRequested transfer) {
			this.leaderHandler.ifPresent((leader) -> leader.onTransfer(transfer.target(), now));
		}
		else if (event instanceof StorageFailed failed) {
			onStorageFailed(failed.error());
		}
	}

	private void onTime(long now) {
		if (this.leaderHandler.isPresent()) {
			this.leaderHandler.get().onTime(now);
		}
		else {
			this.elections.onTime(now);
		}
	}

	private void onMessage(PeerMessage message, long now) {
		if (!message.to().equals(this.state.self())) {
			return;
		}
		PeerBody body = message.body();
		if (body instanceof AppendRequest request) {
			this.follower.onAppend(message, request, now);
		}
		else if (body instanceof SnapshotChunk chunk) {
			this.follower.onSnapshotChunk(message, chunk, now);
		}
		else if (body instanceof VoteRequest request) {
			this.elections.onRequest(message, request, now);
		}
		else if (body instanceof TransferRequest) {
			this.elections.onTransfer(message, now);
		}
		else {
			onReply(message, body, now);
		}
	}

	private void onReply(PeerMessage message, PeerBody body, long now) {
		if (body instanceof VoteReply reply && (reply.granted() || reply.incarnation() != 0)) {
			onVote(message, reply, now);
		}
		else if (this.state.term().isBefore(message.term())) {
			this.state.becomeFollower(message.term(), Optional.empty());
		}
		else if (message.term().equals(this.state.term()) && this.leaderHandler.isPresent()) {
			onLeaderReply(this.leaderHandler.get(), message, body, now);
		}
	}

	private static void onLeaderReply(LeaderHandler leader, PeerMessage message, PeerBody body, long now) {
		if (body instanceof AppendReply reply) {
			leader.onAppendReply(message, reply, now);
		}
		else if (body instanceof SnapshotReply reply) {
			leader.onSnapshotReply(message, reply, now);
		}
	}

	private void onVote(PeerMessage message, VoteReply reply, long now) {
		if (this.elections.onReply(message, reply, now)) {
			startLeading(now);
		}
	}

	private void startLeading(long now) {
		this.state.changeRole(Role.LEADER, Optional.of(this.state.self()));
		this.state.recordLeaderContact(now);
		this.leaderHandler = Optional.of(new LeaderHandler(this.state, now));
	}

	private void stopLeadingIfDeposed() {
		if (this.leaderHandler.isPresent() && this.state.role() != Role.LEADER) {
			this.leaderHandler.get().stop();
			this.leaderHandler = Optional.empty();
		}
	}

	private void onCommand(long proposal, Bytes command, long now) {
		if (this.leaderHandler.isPresent()) {
			this.leaderHandler.get().onCommand(proposal, command, now);
		}
		else {
			this.state.emit(new ProposalRefused(proposal, this.state.notLeader()));
		}
	}

	private void onMembership(long proposal, MembershipChange change, long now) {
		if (this.leaderHandler.isPresent()) {
			this.leaderHandler.get().onMembership(proposal, change, now);
		}
		else {
			this.state.emit(new ProposalRefused(proposal, this.state.notLeader()));
		}
	}

	private void onRead(long read, long now) {
		if (this.leaderHandler.isPresent()) {
			this.leaderHandler.get().onRead(read, now);
		}
		else {
			this.state.emit(new ReadRefused(read, this.state.notLeader()));
		}
	}

	private void onBatchEnd(long now) {
		this.leaderHandler.ifPresent((leader) -> leader.onBatchEnd(now));
		SyncTracker syncs = this.state.syncs();
		EntryLog log = this.state.log();
		if (syncs.hasUnwritten(log.lastIndex())) {
			Optional<HardState> hardState = syncs.hardStateDirty() ? Optional.of(this.state.hardState())
					: Optional.empty();
			LogBatch batch = new LogBatch(hardState,
					log.entriesFrom(Math.max(syncs.writtenIndex(), log.base().index()) + 1));
			this.state.emit(new SyncBatch(syncs.startWrite(log.lastIndex()), batch));
		}
	}

	private void onSynced(long sequence, long now) {
		this.state.syncs().finishWrites(sequence).forEach((message) -> this.state.emit(new SendMessage(message)));
		if (this.elections.onSynced()) {
			startLeading(now);
		}
		this.leaderHandler.ifPresent((leader) -> leader.onSynced(now));
	}

	private void onSnapshotTaken(long index, Bytes encoded) {
		EntryLog log = this.state.log();
		boolean committed = this.state.checkInvariant(index <= this.state.commitIndex(), "snapshot-is-committed",
				Field.of("index", index), Field.of("commit-index", this.state.commitIndex()));
		if (!committed || log.entryAt(index).isEmpty()) {
			return;
		}
		LogPosition position = log.entryAt(index).map(LogEntry::position).orElseThrow();
		Snapshot snapshot = new Snapshot(position, log.timeAt(index), log.membershipAt(index), encoded);
		this.state.snapshot(snapshot);
		log.compactTo(index - this.state.settings().trailingEntries());
		Compaction compaction = new Compaction(snapshot, log.base(), this.state.hardState(),
				log.entriesFrom(log.base().index() + 1));
		this.state.emit(new SaveSnapshot(this.state.syncs().startWrite(log.lastIndex()), compaction, false));
	}

	private void onStorageFailed(OperationError error) {
		this.state.recordDecision(DecisionKind.ELECT, "storage-failed", Field.of("error", error.message()));
		this.state.changeRole(Role.DISABLED, Optional.empty());
	}

	private void refuseDisabled(LogEvent event) {
		if (event instanceof CommandProposed proposed) {
			this.state.emit(new ProposalRefused(proposed.proposal(), this.state.notLeader()));
		}
		else if (event instanceof MembershipProposed proposed) {
			this.state.emit(new ProposalRefused(proposed.proposal(), this.state.notLeader()));
		}
		else if (event instanceof ReadRequested read) {
			this.state.emit(new ReadRefused(read.read(), this.state.notLeader()));
		}
	}

}

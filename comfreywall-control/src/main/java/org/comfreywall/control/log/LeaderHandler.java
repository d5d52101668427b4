package org.comfreywall.control.log;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.LogTime;

/**
 * Acts as the leader for one term: accepts proposals, replicates them and advances the
 * commit index.
 */
final class LeaderHandler {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ReplicaState state;

	/** Replication progress of each other member. */
	private final Map<InstanceId, FollowerProgress> progress = new TreeMap<>();

	private final LeaderLease lease;

	private final PendingReads reads;

	private final MembershipPolicy membershipPolicy;

	private final long electedAtNanos;

	private final LogTime electedTime;

	private final long barrierIndex;

	private long lastHeartbeat;

	private Optional<LeaderTransfer> transfer = Optional.empty();

	LeaderHandler(ReplicaState state, long now) {
		this.state = state;
		this.electedAtNanos = now;
		this.electedTime = state.log().lastTime();
		this.lease = new LeaderLease(state, this.progress, now);
		this.reads = new PendingReads(state);
		this.membershipPolicy = new MembershipPolicy(state, this.progress);
		this.barrierIndex = append(new BarrierContent(), now).index();
		trackMembers();
		heartbeat(now);
	}

	void onTime(long now) {
		if (!this.lease.hasQuorumContact(now)) {
			this.state.becomeFollower(this.state.term(), Optional.empty());
			return;
		}
		this.state.recordLeaderContact(now);
		this.transfer = this.transfer.filter((pending) -> !pending.expired(now));
		if (now - this.lastHeartbeat >= this.state.settings().heartbeatInterval().toNanos()) {
			heartbeat(now);
		}
	}

	void onCommand(long proposal, Bytes command, long now) {
		Optional<OperationError> refusal = refusal(command);
		if (refusal.isPresent()) {
			this.state.emit(new ProposalRefused(proposal, refusal.get()));
			return;
		}
		this.state.emit(new ProposalAccepted(proposal, append(new CommandContent(command), now)));
	}

	private Optional<OperationError> refusal(Bytes command) {
		LogSettings settings = this.state.settings();
		if (this.transfer.isPresent()) {
			return error(ErrorCode.UNAVAILABLE, "leadership is being transferred to another voter; try again");
		}
		if (command.length() > settings.maxCommandBytes()) {
			return error(ErrorCode.INVALID_INPUT,
					"the command exceeds the limit of " + settings.maxCommandBytes() + " bytes");
		}
		if (this.state.log().size() >= settings.maxLogEntries()) {
			return error(ErrorCode.OVERLOADED,
					"the log has reached its maximum number of entries; try again after the next snapshot");
		}
		return Optional.empty();
	}

	private static Optional<OperationError> error(ErrorCode code, String message) {
		return Optional.of(OperationError.local(code, Step.REPLICATE, message));
	}

	void onMembership(long proposal, MembershipChange change, long now) {
		boolean started = this.state.commitIndex() >= this.barrierIndex;
		Optional<OperationError> refusal = started ? this.membershipPolicy.refusal(change)
				: error(ErrorCode.UNAVAILABLE, "the leader has not committed an entry of its term yet; try again");
		if (refusal.isPresent()) {
			this.state.emit(new ProposalRefused(proposal, refusal.get()));
			return;
		}
		Membership next = this.membershipPolicy.apply(change);
		this.state.emit(new ProposalAccepted(proposal, append(new MembershipContent(next), now)));
		trackMembers();
	}

	void onRead(long read, long now) {
		long index = Math.max(this.state.commitIndex(), this.barrierIndex);
		if (holdsLease(now)) {
			this.state.emit(new ReadReady(read, index));
		}
		else {
			this.reads.add(read, index, now);
		}
	}

	void onTransfer(InstanceId target, long now) {
		boolean voter = this.state.log().membership().find(target).filter(Member::voter).isPresent();
		if (voter && this.progress.containsKey(target)) {
			this.transfer = Optional.of(new LeaderTransfer(target, now, this.state.settings().electionTimeout()));
		}
	}

	void onAppendReply(PeerMessage message, AppendReply reply, long now) {
		Optional<FollowerProgress> found = progressOf(message);
		if (found.isEmpty()) {
			return;
		}
		FollowerProgress peer = found.get();
		peer.recordReply(reply.sentNanos(), now);
		if (!reply.accepted()) {
			peer.onRefused(reply.index());
			replicate(message.from(), peer, now, true);
		}
		else if (this.state.checkInvariant(reply.index() <= this.state.log().lastIndex(), "acknowledged-entry-was-sent",
				Field.of("peer", message.from()), Field.of("index", reply.index()))) {
			peer.onAccepted(reply.index());
		}
		afterReply(now);
	}

	void onSnapshotReply(PeerMessage message, SnapshotReply reply, long now) {
		Optional<FollowerProgress> found = progressOf(message);
		if (found.isEmpty()) {
			return;
		}
		FollowerProgress peer = found.get();
		peer.recordReply(reply.sentNanos(), now);
		boolean current = peer.snapshot().filter((image) -> image.position().index() == reply.index()).isPresent();
		if (current && reply.installed()) {
			peer.snapshotInstalled(reply.index());
		}
		else if (current && reply.nextOffset() != peer.snapshotOffset()) {
			peer.snapshotOffset(reply.nextOffset());
			replicate(message.from(), peer, now, true);
		}
		afterReply(now);
	}

	// Returns empty if the sender is not a member or uses another data folder than the
	// member's.
	private Optional<FollowerProgress> progressOf(PeerMessage message) {
		return this.state.log()
			.membership()
			.find(message.from())
			.filter((member) -> member.matches(message.from(), message.fromStorageId()))
			.map((member) -> this.progress.get(member.instance()));
	}

	private void afterReply(long now) {
		advanceCommit();
		this.reads.confirm(this.lease.quorumAnsweredMessageAge(now), now);
	}

	void onSynced(long now) {
		afterReply(now);
	}

	// Sends everything proposed since the last call as one batch.
	void onBatchEnd(long now) {
		if (this.reads.needsConfirmation(this.lastHeartbeat)) {
			heartbeat(now);
		}
		else {
			this.progress.forEach((peer, follower) -> replicate(peer, follower, now, false));
		}
		this.transfer.ifPresent((pending) -> transferIfReady(pending.target()));
	}

	private void transferIfReady(InstanceId target) {
		FollowerProgress peer = this.progress.get(target);
		if (peer != null && peer.matchIndex() == this.state.log().lastIndex()) {
			this.state.send(target, new TransferRequest());
			// Steps down in the same call, so that the lease ends before the target can
			// be elected.
			this.state.becomeFollower(this.state.term(), Optional.empty());
		}
	}

	void stop() {
		this.reads.refuseAll();
	}

	// Returns whether the leader lease is in force, so that no other instance can have
	// been elected.
	boolean holdsLease(long now) {
		return this.state.commitIndex() >= this.barrierIndex && this.lease.isInForce(now);
	}

	long leaseUntil(long now) {
		return this.lease.expiresAtNanos(now);
	}

	private LogPosition append(EntryContent content, long now) {
		LogPosition position = new LogPosition(this.state.log().lastIndex() + 1, this.state.term());
		long elapsed = (now - this.electedAtNanos) / NANOS_PER_MILLI;
		this.state.log().append(new LogEntry(position, LogTime.of(this.electedTime.millis() + elapsed), content));
		return position;
	}

	private void trackMembers() {
		Membership membership = this.state.log().membership();
		this.progress.keySet().removeIf((peer) -> membership.find(peer).isEmpty());
		membership.members()
			.stream()
			.map(Member::instance)
			.filter((peer) -> !peer.equals(this.state.self()))
			.forEach((peer) -> this.progress.computeIfAbsent(peer,
					(added) -> new FollowerProgress(this.state.log().lastIndex() + 1)));
	}

	private void heartbeat(long now) {
		this.lastHeartbeat = now;
		this.progress.forEach((peer, follower) -> replicate(peer, follower, now, true));
	}

	private void replicate(InstanceId peer, FollowerProgress follower, long now, boolean heartbeat) {
		if (follower.snapshot().isEmpty() && follower.nextIndex() <= this.state.log().base().index()) {
			this.state.snapshot()
				.map((snapshot) -> ChunkedSnapshot.of(snapshot, this.state.settings().snapshotChunkBytes()))
				.ifPresent(follower::startSnapshot);
		}
		if (follower.snapshot().isPresent()) {
			sendChunk(peer, follower, now, heartbeat);
		}
		else if (follower.probing()) {
			sendProbe(peer, follower, now, heartbeat);
		}
		else {
			sendEntries(peer, follower, now, heartbeat);
		}
	}

	private void sendChunk(InstanceId peer, FollowerProgress follower, long now, boolean heartbeat) {
		if (heartbeat) {
			follower.snapshot()
				.ifPresent((image) -> this.state.send(peer, image.chunkAt(follower.snapshotOffset(), now)));
		}
	}

	private void sendProbe(InstanceId peer, FollowerProgress follower, long now, boolean heartbeat) {
		if (heartbeat) {
			sendAppend(peer, follower, now, 0);
		}
	}

	private void sendEntries(InstanceId peer, FollowerProgress follower, long now, boolean heartbeat) {
		LogSettings settings = this.state.settings();
		boolean sent = false;
		while (follower.nextIndex() <= this.state.log().lastIndex()
				&& follower.nextIndex() - follower.matchIndex() <= settings.maxInFlightEntries()) {
			sendAppend(peer, follower, now, settings.maxAppendEntries());
			sent = true;
		}
		if (heartbeat && !sent) {
			sendAppend(peer, follower, now, 0);
		}
	}

	private void sendAppend(InstanceId peer, FollowerProgress follower, long now, int maxEntries) {
		EntryLog log = this.state.log();
		long previous = follower.nextIndex() - 1;
		LogPosition position = log.termAt(previous).map((term) -> new LogPosition(previous, term)).orElseThrow();
		AppendRequest request = new AppendRequest(position, this.state.commitIndex(), now,
				log.boundedRange(follower.nextIndex(), maxEntries, this.state.settings().maxAppendBytes()));
		this.state.send(peer, request);
		follower.recordSent(previous + request.entries().size());
	}

	private void advanceCommit() {
		long quorumIndex = quorumIndex();
		boolean ownTerm = this.state.log().termAt(quorumIndex).filter(this.state.term()::equals).isPresent();
		if (!ownTerm || quorumIndex <= this.state.commitIndex()) {
			return;
		}
		this.state.commitTo(quorumIndex);
		boolean removed = this.state.log().membership().find(this.state.self()).isEmpty();
		if (removed && this.state.log().membershipIndex() <= this.state.commitIndex()) {
			heartbeat(this.lastHeartbeat);
			this.state.becomeFollower(this.state.term(), Optional.empty());
		}
	}

	// Returns the greatest index that a quorum has synced to disk.
	private long quorumIndex() {
		Membership membership = this.state.log().membership();
		long[] synced = membership.voters()
			.stream()
			.mapToLong((voter) -> syncedIndex(voter.instance()))
			.sorted()
			.toArray();
		return (synced.length == 0) ? 0 : synced[synced.length - membership.quorum()];
	}

	private long syncedIndex(InstanceId voter) {
		if (voter.equals(this.state.self())) {
			return this.state.syncs().syncedIndex();
		}
		return this.progress.get(voter).matchIndex();
	}

}

package org.comfreywall.control.log;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.Field;

/**
 * Handles entries and snapshots from the leader.
 */
final class FollowerHandler {

	private final ReplicaState state;

	private final SnapshotReceiver receiver = new SnapshotReceiver();

	FollowerHandler(ReplicaState state) {
		this.state = state;
	}

	void onAppend(PeerMessage message, AppendRequest request, long now) {
		if (!acceptLeader(message, now)) {
			this.state.send(message.from(), new AppendReply(false, this.state.log().lastIndex(), request.sentNanos()));
			return;
		}
		LogPosition previous = request.previous();
		if (previous.index() < this.state.log().base().index()) {
			acknowledge(message, request, this.state.commitIndex());
		}
		else if (this.state.log().contains(previous)) {
			append(message, request);
		}
		else {
			long hint = lastPossibleMatch(previous.index());
			this.state.send(message.from(), new AppendReply(false, hint, request.sentNanos()));
		}
	}

	// Follows the sender as the leader and returns true, unless its term is stale.
	private boolean acceptLeader(PeerMessage message, long now) {
		if (message.term().isBefore(this.state.term())) {
			return false;
		}
		boolean otherLeader = message.term().equals(this.state.term()) && this.state.role() == Role.LEADER;
		if (!this.state.checkInvariant(!otherLeader, "one-leader-a-term", Field.of("term", message.term()),
				Field.of("peer", message.from()))) {
			return false;
		}
		this.state.becomeFollower(message.term(), Optional.of(message.from()));
		this.state.recordLeaderContact(now);
		return true;
	}

	private void append(PeerMessage message, AppendRequest request) {
		for (LogEntry entry : request.entries()) {
			if (!this.state.log().contains(entry.position()) && !replaceFrom(entry)) {
				return;
			}
		}
		long matched = request.previous().index() + request.entries().size();
		this.state.commitTo(Math.min(request.commitIndex(), matched));
		acknowledge(message, request, matched);
	}

	private boolean replaceFrom(LogEntry entry) {
		EntryLog log = this.state.log();
		if (entry.index() <= log.lastIndex()) {
			if (!this.state.checkInvariant(entry.index() > this.state.commitIndex(), "committed-entry-is-not-replaced",
					Field.of("index", entry.index()), Field.of("commit-index", this.state.commitIndex()))) {
				return false;
			}
			log.truncateFrom(entry.index());
			this.state.syncs().truncateFrom(entry.index());
		}
		if (!this.state.checkInvariant(entry.index() == log.lastIndex() + 1, "log-has-no-gap",
				Field.of("index", entry.index()), Field.of("last-index", log.lastIndex()))) {
			return false;
		}
		log.append(entry);
		return true;
	}

	// Acknowledges the entries that are synced immediately, and the others once they are.
	private void acknowledge(PeerMessage message, AppendRequest request, long matched) {
		SyncTracker syncs = this.state.syncs();
		if (syncs.hardStateSynced()) {
			long synced = Math.min(matched, syncs.syncedIndex());
			this.state.send(message.from(), new AppendReply(true, synced, request.sentNanos()));
		}
		if (!syncs.hardStateSynced() || matched > syncs.syncedIndex()) {
			this.state.sendSynced(message.from(), new AppendReply(true, matched, request.sentNanos()));
		}
	}

	private long lastPossibleMatch(long previousIndex) {
		EntryLog log = this.state.log();
		if (previousIndex > log.lastIndex()) {
			return log.lastIndex();
		}
		return Math.max(this.state.commitIndex(), log.firstIndexOfTerm(previousIndex) - 1);
	}

	void onSnapshotChunk(PeerMessage message, SnapshotChunk chunk, long now) {
		if (!acceptLeader(message, now)) {
			this.state.send(message.from(), new AppendReply(false, this.state.log().lastIndex(), chunk.sentNanos()));
			return;
		}
		if (chunk.position().index() <= this.state.commitIndex()) {
			this.receiver.clear();
			this.state.sendSynced(message.from(), installedReply(chunk));
			return;
		}
		Optional<Snapshot> snapshot = this.receiver.onChunk(chunk);
		if (snapshot.isPresent()) {
			install(snapshot.get());
			this.state.sendSynced(message.from(), installedReply(chunk));
			saveSnapshot(snapshot.get());
		}
		else {
			this.state.send(message.from(),
					new SnapshotReply(chunk.position().index(), this.receiver.nextOffset(), false, chunk.sentNanos()));
		}
	}

	private static SnapshotReply installedReply(SnapshotChunk chunk) {
		return new SnapshotReply(chunk.position().index(), 0, true, chunk.sentNanos());
	}

	private void install(Snapshot snapshot) {
		EntryLog log = this.state.log();
		if (!log.contains(snapshot.position())) {
			log.resetTo(snapshot);
			this.state.syncs().truncateFrom(this.state.commitIndex() + 1);
		}
		else {
			log.compactTo(snapshot.position().index());
		}
		this.state.restoreFrom(snapshot);
	}

	private void saveSnapshot(Snapshot snapshot) {
		EntryLog log = this.state.log();
		List<LogEntry> kept = log.entriesFrom(log.base().index() + 1);
		Compaction compaction = new Compaction(snapshot, log.base(), this.state.hardState(), kept);
		long sequence = this.state.syncs().startWrite(log.lastIndex());
		this.state.emit(new SaveSnapshot(sequence, compaction, true));
	}

}

package org.comfreywall.control.spread;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Applies updates to the replica of one stream and rejects stale ones.
 */
final class ReplicaUpdater {

	private final InstanceId self;

	private final StreamId stream;

	private final StreamReplica replica;

	private final DecisionListener decisions;

	private boolean diverged;

	private long behindSince;

	private boolean behind;

	ReplicaUpdater(InstanceId self, StreamId stream, StreamReplica replica, DecisionListener decisions) {
		this.self = self;
		this.stream = stream;
		this.replica = replica;
		this.decisions = decisions;
	}

	/**
	 * Returns whether the term of an update is at least as new as the latest known one.
	 * @param sent the latest leader term known to the sender
	 * @param known the latest leader term known to this node
	 * @param from the sender
	 * @return {@code true} if the update may be applied
	 */
	boolean acceptsTerm(Term sent, Term known, InstanceId from) {
		if (sent.isBefore(known)) {
			this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, this.self.value(), "refused-old-term",
					Field.of("stream", this.stream), Field.of("from", from), Field.of("term", sent),
					Field.of("known", known)));
			return false;
		}
		return true;
	}

	/**
	 * Applies a delta if it starts at the current version.
	 * @param delta the delta
	 * @return the result
	 */
	UpdateResult apply(Delta delta) {
		if (!this.replica.version().isBefore(delta.to())) {
			return UpdateResult.STALE;
		}
		if (!this.replica.isNext(delta)) {
			return UpdateResult.GAP;
		}
		this.replica.apply(delta);
		this.behind = false;
		return UpdateResult.DONE;
	}

	/**
	 * Installs a snapshot if it is newer, or if it has the current version and the last
	 * comparison of digests showed that the replica has diverged.
	 * @param snapshot the snapshot
	 * @return the result
	 */
	UpdateResult install(Snapshot snapshot) {
		int order = snapshot.version().compareTo(this.replica.version());
		if (order < 0 || (order == 0 && !this.diverged)) {
			return UpdateResult.STALE;
		}
		this.replica.install(snapshot);
		this.diverged = false;
		this.behind = false;
		return UpdateResult.DONE;
	}

	/**
	 * Compares the replica with the parent's position.
	 * @param parent the parent's position
	 * @param timeoutNanos how long the replica may stay behind the parent before a resend
	 * is requested, in nanoseconds
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if a resend must be requested
	 */
	boolean needsResend(Position parent, long timeoutNanos, long now) {
		int order = parent.version().compareTo(this.replica.version());
		this.diverged = order == 0 && parent.digest() != this.replica.position().digest();
		if (order <= 0) {
			this.behind = false;
			return this.diverged;
		}
		if (!this.behind) {
			this.behind = true;
			this.behindSince = now;
			return false;
		}
		if (now - this.behindSince < timeoutNanos) {
			return false;
		}
		this.behindSince = now;
		return true;
	}

	/**
	 * The result of an update.
	 */
	enum UpdateResult {

		/** The update was applied. */
		DONE,
		/** The update was not newer than the replica. */
		STALE,
		/** Updates in between are missing. */
		GAP

	}

}

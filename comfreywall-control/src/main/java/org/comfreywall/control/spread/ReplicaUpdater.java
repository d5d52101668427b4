package org.comfreywall.control.spread;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Applies updates to the replica of one stream, rejects stale updates and detects missing
 * ones.
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
	 * Returns whether the term of an update is not older than this node's term, and
	 * records the rejection otherwise.
	 * @param sent the latest leader term that the sender had received
	 * @param known the latest leader term that this node has received
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
	 * Applies a delta if it starts at the replica's version.
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
	 * Installs a snapshot if it is newer than the replica. A snapshot of the same version
	 * is installed only if the last comparison of digests showed that the replica has
	 * diverged.
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
	 * Compares the replica with the parent's position. A resend is needed at once if the
	 * replica has diverged, and after a timeout if it lags behind.
	 * @param parent the parent's position
	 * @param timeoutNanos the time in nanoseconds that the replica may lag behind the
	 * parent
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the node must request a resend
	 */
	boolean needsResend(StreamPosition parent, long timeoutNanos, long now) {
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
	 * The result of applying an update.
	 */
	enum UpdateResult {

		/** The update was applied. */
		DONE,
		/** The update was rejected because it was not newer than the replica. */
		STALE,
		/** The update was rejected because updates before it are missing. */
		GAP

	}

}

package org.comfreywall.control.spread;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Decides which updates of one stream are taken over and which are refused.
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
	 * Tells whether an update comes from a sender that does not know a term older than
	 * this node's.
	 * @param sent the newest term known to the sender
	 * @param known the newest term known to this node
	 * @param from the sender
	 * @return {@code true} if the update may be looked at
	 */
	boolean accepts(Term sent, Term known, InstanceId from) {
		if (sent.isBefore(known)) {
			this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, this.self.value(), "refused-old-term",
					Field.of("stream", this.stream), Field.of("from", from), Field.of("term", sent),
					Field.of("known", known)));
			return false;
		}
		return true;
	}

	/**
	 * Applies a delta if it follows the state held.
	 * @param delta the delta
	 * @return what came of it
	 */
	Applied apply(Delta delta) {
		if (!this.replica.version().isBefore(delta.to())) {
			return Applied.OLD;
		}
		if (!this.replica.follows(delta)) {
			return Applied.GAP;
		}
		this.replica.apply(delta);
		this.behind = false;
		return Applied.DONE;
	}

	/**
	 * Installs a whole state if it is newer, or if the state held is known to differ.
	 * @param snapshot the state
	 * @return what came of it
	 */
	Applied install(Snapshot snapshot) {
		int order = snapshot.version().compareTo(this.replica.version());
		if (order < 0 || (order == 0 && !this.diverged)) {
			return Applied.OLD;
		}
		this.replica.install(snapshot);
		this.diverged = false;
		this.behind = false;
		return Applied.DONE;
	}

	/**
	 * Compares the state held with the parent's.
	 * @param parent the parent's position
	 * @param patienceNanos how long an announced update may take to arrive
	 * @param now the clock's reading
	 * @return {@code true} if an update must be asked for
	 */
	boolean hasGap(Position parent, long patienceNanos, long now) {
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
		if (now - this.behindSince < patienceNanos) {
			return false;
		}
		this.behindSince = now;
		return true;
	}

	/**
	 * What came of an update.
	 */
	enum Applied {

		/** The state has changed. */
		DONE,
		/** The update was older than the state held. */
		OLD,
		/** Updates in between are missing. */
		GAP

	}

}

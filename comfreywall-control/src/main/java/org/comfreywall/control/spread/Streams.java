package org.comfreywall.control.spread;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;

/**
 * A node's replicas of the configuration and membership streams, with their distribution
 * to the children.
 */
final class Streams {

	private final StreamReplica configuration = new StreamReplica();

	private final StreamReplica members = new StreamReplica();

	private final NodeRole role;

	private final long gapTimeoutNanos;

	private final Outbox outbox;

	private final Map<StreamId, ReplicaUpdater> updaters;

	private final List<Distributor> distributors;

	private final ConfigurationGate gate;

	private Term term = Term.ZERO;

	private boolean resend;

	Streams(NodeDescriptor self, SpreadSettings settings, Invariants invariants, DecisionListener decisions,
			Outbox outbox) {
		InstanceId id = self.id();
		this.role = self.role();
		this.gapTimeoutNanos = settings.beatInterval().toNanos();
		this.outbox = outbox;
		this.updaters = Map.of(StreamId.CONFIGURATION,
				new ReplicaUpdater(id, StreamId.CONFIGURATION, this.configuration, decisions), StreamId.MEMBERS,
				new ReplicaUpdater(id, StreamId.MEMBERS, this.members, decisions));
		this.distributors = List.of(new Distributor(StreamId.CONFIGURATION, this.configuration, settings, outbox),
				new Distributor(StreamId.MEMBERS, this.members, settings, outbox));
		this.gate = new ConfigurationGate(id, this.configuration, invariants, decisions, outbox);
	}

	StreamReplica configuration() {
		return this.configuration;
	}

	StreamReplica members() {
		return this.members;
	}

	Optional<Version> inForce() {
		return this.gate.inForce();
	}

	long revisionInForce() {
		return this.gate.revisionInForce();
	}

	Term term() {
		return this.term;
	}

	void advanceTerm(Term other) {
		this.term = this.term.isBefore(other) ? other : this.term;
	}

	void floorConfirmed(Version floor) {
		this.gate.floorConfirmed(floor);
	}

	boolean needsResend() {
		return this.resend;
	}

	boolean pollResend() {
		boolean requested = this.resend;
		this.resend = false;
		return requested;
	}

	/**
	 * Publishes membership changes as the leader.
	 * @param changes the changes; an empty list publishes the first version of the
	 * leader's term
	 * @param children the children to send them to
	 * @param now the current monotonic time in nanoseconds
	 */
	void publishMembers(List<EntryChange> changes, Collection<Child> children, long now) {
		Version held = this.members.version();
		if (this.term.isBefore(held.term())) {
			return;
		}
		long number = held.term().equals(this.term) ? held.number() + 1 : 1;
		apply(StreamId.MEMBERS, new Delta(held, new Version(this.term, number), changes), children, now);
	}

	void onDeltas(InstanceId from, DeltaUpdate update, Collection<Child> children, long now) {
		if (acceptsUpdate(update.stream(), update.rootTerm(), from)) {
			update.deltas().forEach((delta) -> apply(update.stream(), delta, children, now));
		}
	}

	void onSnapshot(InstanceId from, SnapshotUpdate update, Collection<Child> children, long now) {
		if (acceptsUpdate(update.stream(), update.rootTerm(), from)) {
			install(update.stream(), update.snapshot(), children, now);
		}
	}

	void apply(StreamId stream, Delta delta, Collection<Child> children, long now) {
		ReplicaUpdater.UpdateResult applied = this.updaters.get(stream).apply(delta);
		if (applied == ReplicaUpdater.UpdateResult.DONE) {
			if (stream == StreamId.CONFIGURATION) {
				this.gate.activateDelta(delta);
			}
			else {
				this.outbox.add(new SpreadCommand.MembersUpdated(delta.to(), delta.changes(), false));
			}
			sendUpdatesToAll(children, now);
		}
		this.resend |= applied == ReplicaUpdater.UpdateResult.GAP;
	}

	void install(StreamId stream, Snapshot snapshot, Collection<Child> children, long now) {
		if (this.updaters.get(stream).install(snapshot) != ReplicaUpdater.UpdateResult.DONE) {
			return;
		}
		if (stream == StreamId.CONFIGURATION) {
			this.gate.activateWholeState();
		}
		else {
			this.outbox.add(new SpreadCommand.MembersUpdated(snapshot.version(), this.members.asChanges(), true));
		}
		sendUpdatesToAll(children, now);
	}

	/**
	 * Compares the replicas with the parent's positions and requests a resend if one lags
	 * behind or has diverged.
	 * @param beat the parent's beat
	 * @param now the current monotonic time in nanoseconds
	 */
	void compareWithParent(Beat beat, long now) {
		this.resend |= this.updaters.get(StreamId.CONFIGURATION)
			.needsResend(beat.configuration(), this.gapTimeoutNanos, now);
		if (this.role != NodeRole.SIDECAR) {
			this.resend |= this.updaters.get(StreamId.MEMBERS).needsResend(beat.members(), this.gapTimeoutNanos, now);
		}
	}

	/**
	 * Initializes the sent versions of a new child with its acknowledged positions.
	 * @param child the child
	 */
	void initializeSentVersions(Child child) {
		child.rewindToAcknowledged(StreamId.CONFIGURATION);
		child.rewindToAcknowledged(StreamId.MEMBERS);
	}

	/**
	 * Sends a child the updates that its latest heartbeat does not acknowledge.
	 * @param child the child
	 * @param requested whether the child has requested a resend
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendMissingUpdates(Child child, boolean requested, long now) {
		for (Distributor distributor : this.distributors) {
			distributor.rewindIfLost(child, requested, now);
			distributor.sendUpdates(child, this.term, now);
			if (requested) {
				distributor.sendSnapshotIfDiverged(child, this.term, now);
			}
		}
	}

	private void sendUpdatesToAll(Collection<Child> children, long now) {
		for (Child child : children) {
			this.distributors.forEach((distributor) -> distributor.sendUpdates(child, this.term, now));
		}
	}

	private boolean acceptsUpdate(StreamId stream, Term sent, InstanceId from) {
		boolean accepted = this.updaters.get(stream).acceptsTerm(sent, this.term, from);
		this.term = accepted ? sent : this.term;
		return accepted;
	}

}

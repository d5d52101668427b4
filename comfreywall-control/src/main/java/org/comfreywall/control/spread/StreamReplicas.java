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
 * A node's replicas of the configuration and membership streams. Applies updates of the
 * parent or the replicated log to them and sends the updates to the children.
 */
final class StreamReplicas {

	private final StreamReplica configuration = new StreamReplica();

	private final StreamReplica members = new StreamReplica();

	private final NodeRole role;

	private final long gapTimeoutNanos;

	private final Outbox outbox;

	private final Map<StreamId, ReplicaUpdater> updaters;

	private final List<UpdateSender> updateSenders;

	private final ConfigurationActivator activator;

	private Term term = Term.ZERO;

	private boolean resendNeeded;

	StreamReplicas(NodeDescriptor self, RelayTreeSettings settings, Invariants invariants, DecisionListener decisions,
			Outbox outbox) {
		InstanceId id = self.id();
		this.role = self.role();
		this.gapTimeoutNanos = settings.rootHeartbeatInterval().toNanos();
		this.outbox = outbox;
		this.updaters = Map.of(StreamId.CONFIGURATION,
				new ReplicaUpdater(id, StreamId.CONFIGURATION, this.configuration, decisions), StreamId.MEMBERS,
				new ReplicaUpdater(id, StreamId.MEMBERS, this.members, decisions));
		this.updateSenders = List.of(new UpdateSender(StreamId.CONFIGURATION, this.configuration, settings, outbox),
				new UpdateSender(StreamId.MEMBERS, this.members, settings, outbox));
		this.activator = new ConfigurationActivator(id, this.configuration, invariants, decisions, outbox);
	}

	StreamReplica configuration() {
		return this.configuration;
	}

	StreamReplica members() {
		return this.members;
	}

	Optional<Version> versionInForce() {
		return this.activator.versionInForce();
	}

	long revisionInForce() {
		return this.activator.revisionInForce();
	}

	Term term() {
		return this.term;
	}

	void advanceTerm(Term received) {
		this.term = this.term.isBefore(received) ? received : this.term;
	}

	void setConfigurationFloor(Version floor) {
		this.activator.setFloor(floor);
	}

	boolean needsResend() {
		return this.resendNeeded;
	}

	boolean takeResendRequest() {
		boolean requested = this.resendNeeded;
		this.resendNeeded = false;
		return requested;
	}

	/**
	 * Publishes membership changes as a new version of the leader's term.
	 * @param changes the changes; a new leader publishes an empty list as the first
	 * version of its term
	 * @param children the children to which the changes are sent
	 * @param now the current monotonic time in nanoseconds
	 */
	void publishMembers(List<EntryChange> changes, Collection<Child> children, long now) {
		Version current = this.members.version();
		if (this.term.isBefore(current.term())) {
			return;
		}
		long number = current.term().equals(this.term) ? current.number() + 1 : 1;
		apply(StreamId.MEMBERS, new Delta(current, new Version(this.term, number), changes), children, now);
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
				this.activator.activateDelta(delta);
			}
			else {
				this.outbox.add(new RelayTreeCommand.ApplyMemberChanges(delta.to(), delta.changes(), false));
			}
			sendUpdatesToAll(children, now);
		}
		this.resendNeeded |= applied == ReplicaUpdater.UpdateResult.GAP;
	}

	void install(StreamId stream, Snapshot snapshot, Collection<Child> children, long now) {
		if (this.updaters.get(stream).install(snapshot) != ReplicaUpdater.UpdateResult.DONE) {
			return;
		}
		if (stream == StreamId.CONFIGURATION) {
			this.activator.activateCompleteState();
		}
		else {
			this.outbox
				.add(new RelayTreeCommand.ApplyMemberChanges(snapshot.version(), this.members.asChanges(), true));
		}
		sendUpdatesToAll(children, now);
	}

	/**
	 * Compares the replicas with the parent's positions. The next heartbeat requests a
	 * resend if a replica lags behind for too long or has diverged.
	 * @param heartbeat the parent's heartbeat
	 * @param now the current monotonic time in nanoseconds
	 */
	void compareWithParent(ParentHeartbeat heartbeat, long now) {
		this.resendNeeded |= this.updaters.get(StreamId.CONFIGURATION)
			.needsResend(heartbeat.configuration(), this.gapTimeoutNanos, now);
		if (this.role != NodeRole.SIDECAR) {
			this.resendNeeded |= this.updaters.get(StreamId.MEMBERS)
				.needsResend(heartbeat.members(), this.gapTimeoutNanos, now);
		}
	}

	/**
	 * Sets the sent versions of a new child to the versions that it has acknowledged.
	 * @param child the child
	 */
	void initializeSentVersions(Child child) {
		child.rewindToAcknowledged(StreamId.CONFIGURATION);
		child.rewindToAcknowledged(StreamId.MEMBERS);
	}

	/**
	 * Sends a child the updates that were not sent to it or were probably lost.
	 * @param child the child
	 * @param requested whether the child has requested a resend
	 * @param now the current monotonic time in nanoseconds
	 */
	void sendMissingUpdates(Child child, boolean requested, long now) {
		for (UpdateSender updateSender : this.updateSenders) {
			updateSender.rewindIfUpdateLost(child, requested, now);
			updateSender.sendUpdates(child, this.term, now);
			if (requested) {
				updateSender.sendSnapshotIfDiverged(child, this.term, now);
			}
		}
	}

	private void sendUpdatesToAll(Collection<Child> children, long now) {
		for (Child child : children) {
			this.updateSenders.forEach((updateSender) -> updateSender.sendUpdates(child, this.term, now));
		}
	}

	private boolean acceptsUpdate(StreamId stream, Term sent, InstanceId from) {
		boolean accepted = this.updaters.get(stream).acceptsTerm(sent, this.term, from);
		this.term = accepted ? sent : this.term;
		return accepted;
	}

}

package org.comfreywall.control.spread;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;

/**
 * Puts the replicated configuration in force.
 * <p>
 * The first version to be put in force must not be older than the floor, the version that
 * a quorum confirmed after this node started. A restarted node therefore never uses a
 * configuration that was replaced before its start. No later version may be older than
 * the one in force.
 */
final class ConfigurationActivator {

	private final InstanceId self;

	private final StreamReplica replica;

	private final Invariants invariants;

	private final DecisionListener decisions;

	private final Outbox outbox;

	private Optional<Version> floor = Optional.empty();

	private Optional<Version> versionInForce = Optional.empty();

	ConfigurationActivator(InstanceId self, StreamReplica replica, Invariants invariants, DecisionListener decisions,
			Outbox outbox) {
		this.self = self;
		this.replica = replica;
		this.invariants = invariants;
		this.decisions = decisions;
		this.outbox = outbox;
	}

	Optional<Version> versionInForce() {
		return this.versionInForce;
	}

	long revisionInForce() {
		return this.versionInForce.map(Version::number).orElse(0L);
	}

	/**
	 * Sets the floor and activates the replica's state if it is not older.
	 * @param version the oldest version that may be activated, confirmed by a quorum
	 */
	void setFloor(Version version) {
		this.floor = Optional.of(version);
		activateCompleteState();
	}

	/**
	 * Activates a delta that was applied to the replica.
	 * @param delta the delta
	 */
	void activateDelta(Delta delta) {
		if (this.versionInForce.isEmpty()) {
			activateCompleteState();
			return;
		}
		activate(delta.changes(), false);
	}

	/**
	 * Activates the replica's complete state, unless no version is in force yet and the
	 * floor is unknown or newer than the state.
	 */
	void activateCompleteState() {
		boolean floorReached = this.floor.isPresent() && !this.replica.version().isBefore(this.floor.get());
		if (floorReached || this.versionInForce.isPresent()) {
			activate(this.replica.asChanges(), true);
		}
	}

	private void activate(List<EntryChange> changes, boolean replaceAll) {
		Version version = this.replica.version();
		Version previous = this.versionInForce.orElse(Version.ZERO);
		boolean notOlder = version.number() >= previous.number() && !version.isBefore(previous);
		if (!this.invariants.holds(notOlder, "revision-never-back", Field.of("held", previous),
				Field.of("offered", version))) {
			return;
		}
		this.versionInForce = Optional.of(version);
		this.outbox.add(new RelayTreeCommand.ActivateConfiguration(version, changes, replaceAll));
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, this.self.value(), "in-force",
				Field.of("version", version), Field.of("whole", replaceAll)));
	}

}

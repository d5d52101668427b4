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
 * Activates the replicated configuration once it is at least as new as the floor, the
 * version that a quorum confirmed after this node started. Later updates never activate
 * an older version.
 */
final class ConfigurationGate {

	private final InstanceId self;

	private final StreamReplica replica;

	private final Invariants invariants;

	private final DecisionListener decisions;

	private final Outbox outbox;

	private Optional<Version> floor = Optional.empty();

	private Optional<Version> inForce = Optional.empty();

	ConfigurationGate(InstanceId self, StreamReplica replica, Invariants invariants, DecisionListener decisions,
			Outbox outbox) {
		this.self = self;
		this.replica = replica;
		this.invariants = invariants;
		this.decisions = decisions;
		this.outbox = outbox;
	}

	Optional<Version> inForce() {
		return this.inForce;
	}

	long revisionInForce() {
		return this.inForce.map(Version::number).orElse(0L);
	}

	/**
	 * Sets the floor that a quorum confirmed and activates the configuration if it has
	 * reached it.
	 * @param version the oldest version that may be activated
	 */
	void floorConfirmed(Version version) {
		this.floor = Optional.of(version);
		activateWholeState();
	}

	/**
	 * Activates a delta that the replica has applied.
	 * @param delta the delta
	 */
	void activateDelta(Delta delta) {
		if (this.inForce.isEmpty()) {
			activateWholeState();
			return;
		}
		activate(delta.changes(), false);
	}

	/**
	 * Activates the replica's whole state if it has reached the floor.
	 */
	void activateWholeState() {
		boolean reached = this.floor.isPresent() && !this.replica.version().isBefore(this.floor.get());
		if (reached || this.inForce.isPresent()) {
			activate(this.replica.asChanges(), true);
		}
	}

	private void activate(List<EntryChange> changes, boolean whole) {
		Version version = this.replica.version();
		Version before = this.inForce.orElse(Version.ZERO);
		boolean forward = version.number() >= before.number() && !version.isBefore(before);
		if (!this.invariants.holds(forward, "revision-never-back", Field.of("held", before),
				Field.of("offered", version))) {
			return;
		}
		this.inForce = Optional.of(version);
		this.outbox.add(new SpreadCommand.ConfigurationInForce(version, changes, whole));
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.CONFIGURE, this.self.value(), "in-force",
				Field.of("version", version), Field.of("whole", whole)));
	}

}

package org.comfreywall.bench.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.id.Term;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.state.ChangeAccepted;
import org.comfreywall.control.state.ChangeAnswer;
import org.comfreywall.control.state.ChangeConflict;
import org.comfreywall.control.state.ConfigurationChange;

/**
 * Checks the safety of the replicated log from the outputs of the instances alone,
 * independently of the invariants that the replica cores check themselves.
 */
final class SafetyChecker {

	private static final int MAX_VIOLATIONS = 20;

	private final EventQueue schedule;

	private final List<String> violations = new ArrayList<>();

	private final Map<Term, InstanceId> leaders = new HashMap<>();

	private final Map<Long, Long> digests = new HashMap<>();

	private final Map<Revision, ChangeId> changes = new HashMap<>();

	private final Map<ChangeId, Revision> revisions = new HashMap<>();

	private final Map<ChangeId, ChangeAnswer> answers = new HashMap<>();

	private final Map<ClaimKey, RequestId> claims = new HashMap<>();

	private long acknowledgedIndex;

	private long acknowledged;

	SafetyChecker(EventQueue schedule) {
		this.schedule = schedule;
	}

	List<String> violations() {
		return this.violations;
	}

	long terms() {
		return this.leaders.size();
	}

	long acknowledged() {
		return this.acknowledged;
	}

	long committed() {
		return this.digests.size();
	}

	long acknowledgedIndex() {
		return this.acknowledgedIndex;
	}

	void check(boolean condition, String rule, Object... seen) {
		if (!condition && this.violations.size() < MAX_VIOLATIONS) {
			this.violations.add("step " + this.schedule.steps() + ": " + rule + " " + List.of(seen));
		}
	}

	void checkLeader(InstanceId instance, Term term) {
		InstanceId first = this.leaders.putIfAbsent(term, instance);
		check(first == null || first.equals(instance), "at most one leader per term", term, first, instance);
	}

	// Checks by digest that all instances have applied the same entries up to an index.
	void checkAppliedPrefix(InstanceId instance, long index, long digest) {
		Long expected = this.digests.putIfAbsent(index, digest);
		check(expected == null || expected == digest, "committed entries are neither lost nor reordered", instance,
				index);
	}

	void recordAcknowledgement(long index) {
		this.acknowledged++;
		this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
	}

	// Checks that at most one instance holds the leader lease, that it has committed
	// every acknowledged entry and that no other instance leads a newer term.
	void checkLeases(Collection<SimulatedInstance> instances) {
		List<SimulatedInstance> holders = instances.stream().filter(SimulatedInstance::holdsLease).toList();
		check(holders.size() <= 1, "at most one instance holds the lease",
				holders.stream().map(SimulatedInstance::id).toList());
		holders.forEach((holder) -> checkHolder(holder, instances));
	}

	private void checkHolder(SimulatedInstance holder, Collection<SimulatedInstance> instances) {
		ReplicaStatus status = holder.status().orElseThrow();
		check(status.commitIndex() >= this.acknowledgedIndex, "an acknowledged change is never lost", holder.id(),
				status.commitIndex(), this.acknowledgedIndex);
		for (SimulatedInstance other : instances) {
			Optional<ReplicaStatus> seen = other.status().filter((found) -> found.role() == Role.LEADER);
			boolean newer = seen.filter((found) -> status.term().isBefore(found.term())).isPresent();
			check(!newer, "no newer leader exists while the lease is held", holder.id(), other.id());
		}
	}

	void checkAcceptedChange(Revision revision, ChangeId change) {
		ChangeId first = this.changes.putIfAbsent(revision, change);
		check(first == null || first.equals(change), "at most one change is accepted per revision", revision, first,
				change);
		Revision earlier = this.revisions.putIfAbsent(change, revision);
		check(earlier == null || earlier.equals(revision), "a resent change applies once", change, earlier, revision);
	}

	void checkAnswer(ConfigurationChange change, ChangeAnswer answer) {
		ChangeAnswer first = this.answers.putIfAbsent(change.id(), answer);
		check(first == null || first.equals(answer), "a resent change gets the first answer", change.id(), first,
				answer);
		if (answer instanceof ChangeAccepted accepted) {
			check(accepted.revision().equals(change.expected().next()), "a change follows the expected revision",
					change.id());
		}
		if (answer instanceof ChangeConflict conflict) {
			check(change.expected().isBefore(conflict.revision()), "a conflict has a newer revision than expected",
					change.id());
			check(conflict.winner().isPresent(), "a conflict contains the winning change", change.id());
		}
	}

	void checkClaimGrant(ClaimKey key, RequestId owner) {
		RequestId first = this.claims.putIfAbsent(key, owner);
		check(first == null || first.equals(owner), "a claim is granted at most once", key, first, owner);
	}

	long claims() {
		return this.claims.size();
	}

	void checkRead(Revision expected, Revision seen) {
		check(!seen.isBefore(expected), "a read sees every acknowledged change", expected, seen);
	}

}

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
 * Checks from outside what the instances do; knows nothing of the core's own invariants.
 */
final class RunChecker {

	private static final int MAX_VIOLATIONS = 20;

	private final RunSchedule schedule;

	private final List<String> violations = new ArrayList<>();

	private final Map<Term, InstanceId> leaders = new HashMap<>();

	private final Map<Long, Long> digests = new HashMap<>();

	private final Map<Revision, ChangeId> changes = new HashMap<>();

	private final Map<ChangeId, Revision> revisions = new HashMap<>();

	private final Map<ChangeId, ChangeAnswer> answers = new HashMap<>();

	private final Map<ClaimKey, RequestId> claims = new HashMap<>();

	private long acknowledgedIndex;

	private long acknowledged;

	RunChecker(RunSchedule schedule) {
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

	void leads(InstanceId instance, Term term) {
		InstanceId first = this.leaders.putIfAbsent(term, instance);
		check(first == null || first.equals(instance), "one leader a term", term, first, instance);
	}

	// Checks that every instance has the same log up to an index.
	void reached(InstanceId instance, long index, long digest) {
		Long known = this.digests.putIfAbsent(index, digest);
		check(known == null || known == digest, "committed entries are never lost nor reordered", instance, index);
	}

	void acknowledged(long index) {
		this.acknowledged++;
		this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
	}

	// Checks that the holder of the lease is the only leader and knows all that was
	// acknowledged.
	void leases(Collection<RunInstance> instances) {
		List<RunInstance> holders = instances.stream().filter(RunInstance::holdsLease).toList();
		check(holders.size() <= 1, "one lease at a time", holders.stream().map(RunInstance::id).toList());
		holders.forEach((holder) -> checkHolder(holder, instances));
	}

	private void checkHolder(RunInstance holder, Collection<RunInstance> instances) {
		ReplicaStatus status = holder.status().orElseThrow();
		check(status.commitIndex() >= this.acknowledgedIndex, "an acknowledged change is never lost", holder.id(),
				status.commitIndex(), this.acknowledgedIndex);
		for (RunInstance other : instances) {
			Optional<ReplicaStatus> seen = other.status().filter((found) -> found.role() == Role.LEADER);
			boolean newer = seen.filter((found) -> status.term().isBefore(found.term())).isPresent();
			check(!newer, "a leader gives no orders once another may start", holder.id(), other.id());
		}
	}

	void accepted(Revision revision, ChangeId change) {
		ChangeId first = this.changes.putIfAbsent(revision, change);
		check(first == null || first.equals(change), "equal-numbered changes have one winner", revision, first, change);
		Revision earlier = this.revisions.putIfAbsent(change, revision);
		check(earlier == null || earlier.equals(revision), "a resent change applies once", change, earlier, revision);
	}

	void answered(ConfigurationChange change, ChangeAnswer answer) {
		ChangeAnswer first = this.answers.putIfAbsent(change.id(), answer);
		check(first == null || first.equals(answer), "a resend gets the first answer", change.id(), first, answer);
		if (answer instanceof ChangeAccepted accepted) {
			check(accepted.revision().equals(change.expected().next()), "a change follows the expected revision",
					change.id());
		}
		if (answer instanceof ChangeConflict conflict) {
			check(change.expected().isBefore(conflict.revision()), "one of equal-numbered changes wins", change.id());
			check(conflict.winner().isPresent(), "a conflict names the winner", change.id());
		}
	}

	void granted(ClaimKey key, RequestId owner) {
		RequestId first = this.claims.putIfAbsent(key, owner);
		check(first == null || first.equals(owner), "a claim is granted at most once", key, first, owner);
	}

	long claims() {
		return this.claims.size();
	}

	void read(Revision expected, Revision seen) {
		check(!seen.isBefore(expected), "a read sees every acknowledged change", expected, seen);
	}

}

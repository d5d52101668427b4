package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.log.AddLearner;
import org.comfreywall.control.log.Member;
import org.comfreywall.control.log.Membership;
import org.comfreywall.control.log.MembershipChange;
import org.comfreywall.control.log.PromoteLearner;
import org.comfreywall.control.log.RemoveMember;

/**
 * Destroys an instance together with its disk and replaces it by membership changes. Half
 * of the replacements are followed at once by the loss of another instance.
 */
final class InstanceReplacer {

	private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(30).toNanos();

	private static final long MAX_PAUSE_NANOS = Duration.ofMillis(1500).toNanos();

	private static final double IMMEDIATE_REPEAT_SHARE = 0.5;

	private final SimulatedCluster cluster;

	private List<MembershipChange> pendingChanges = List.of();

	private long replacedInstances;

	private long latestAttempt;

	InstanceReplacer(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	long replacedInstances() {
		return this.replacedInstances;
	}

	void start() {
		this.cluster.schedule().after(this.cluster.random().nextLong(MAX_PAUSE_NANOS), this::destroyInstance);
	}

	private void destroyInstance() {
		SimulatedInstance lost = this.cluster.randomInstance();
		this.cluster.destroy(lost);
		SimulatedInstance added = this.cluster.addEmptyInstance();
		MembershipChange add = new AddLearner(added.id(), added.storageId());
		MembershipChange promote = new PromoteLearner(added.id());
		MembershipChange remove = new RemoveMember(lost.id());
		this.pendingChanges = this.cluster.random().nextBoolean() ? List.of(add, promote, remove)
				: List.of(remove, add, promote);
		submitNext();
	}

	// Resubmits the next change until it is committed.
	private void submitNext() {
		if (this.pendingChanges.isEmpty()) {
			finishReplacement();
			return;
		}
		MembershipChange next = this.pendingChanges.get(0);
		long attempt = ++this.latestAttempt;
		SimulatedInstance leader = this.cluster.randomLeader();
		leader.changeMembers(next, () -> onCommitted(next));
		this.cluster.schedule().after(RETRY_INTERVAL_NANOS, () -> {
			if (attempt == this.latestAttempt) {
				skipIfCommitted(next);
				submitNext();
			}
		});
	}

	private void onCommitted(MembershipChange change) {
		if (!this.pendingChanges.isEmpty() && this.pendingChanges.get(0).equals(change)) {
			this.pendingChanges = this.pendingChanges.subList(1, this.pendingChanges.size());
			this.latestAttempt++;
			this.cluster.schedule().after(0, this::submitNext);
		}
	}

	// Skips a change that the committed membership already contains: the answer to an
	// earlier attempt may have been lost when its leader crashed.
	private void skipIfCommitted(MembershipChange change) {
		boolean alreadyCommitted = this.cluster.instances()
			.stream()
			.filter(SimulatedInstance::holdsLease)
			.anyMatch((leader) -> isCommitted(leader, change));
		if (alreadyCommitted && !this.pendingChanges.isEmpty() && this.pendingChanges.get(0).equals(change)) {
			this.pendingChanges = this.pendingChanges.subList(1, this.pendingChanges.size());
		}
	}

	private static boolean isCommitted(SimulatedInstance leader, MembershipChange change) {
		return leader.status()
			.filter((status) -> status.commitIndex() == status.lastIndex())
			.filter((status) -> reflects(status.membership(), change))
			.isPresent();
	}

	private static boolean reflects(Membership membership, MembershipChange change) {
		InstanceId instance = change.instance();
		if (change instanceof RemoveMember) {
			return membership.find(instance).isEmpty();
		}
		boolean needsVoter = change instanceof PromoteLearner;
		return membership.find(instance).map(Member::voter).filter((voter) -> voter || !needsVoter).isPresent();
	}

	private void finishReplacement() {
		this.replacedInstances++;
		if (this.cluster.random().nextDouble() < IMMEDIATE_REPEAT_SHARE) {
			destroyInstance();
		}
		else {
			start();
		}
	}

}

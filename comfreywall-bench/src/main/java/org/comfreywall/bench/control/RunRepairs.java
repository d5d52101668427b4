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
 * Destroys an instance together with its disk, replaces it, and often destroys another
 * one right after the repair.
 */
final class RunRepairs {

	private static final long RETRY_NANOS = Duration.ofMillis(30).toNanos();

	private static final long PAUSE_NANOS = Duration.ofMillis(1500).toNanos();

	private static final double AT_ONCE_SHARE = 0.5;

	private final RunWorld world;

	private List<MembershipChange> plan = List.of();

	private long repairs;

	private long attempt;

	RunRepairs(RunWorld world) {
		this.world = world;
	}

	long repairs() {
		return this.repairs;
	}

	void start() {
		this.world.schedule().after(this.world.random().nextLong(PAUSE_NANOS), this::destroyOne);
	}

	private void destroyOne() {
		RunInstance lost = this.world.anyInstance();
		this.world.destroy(lost);
		RunInstance added = this.world.addEmpty();
		MembershipChange add = new AddLearner(added.id(), added.storageId());
		MembershipChange promote = new PromoteLearner(added.id());
		MembershipChange remove = new RemoveMember(lost.id());
		this.plan = this.world.random().nextBoolean() ? List.of(add, promote, remove) : List.of(remove, add, promote);
		submitNext();
	}

	// Submits the next change again and again until the members show it committed.
	private void submitNext() {
		if (this.plan.isEmpty()) {
			finish();
			return;
		}
		MembershipChange next = this.plan.get(0);
		long number = ++this.attempt;
		RunInstance leader = this.world.anyLeader();
		leader.changeMembers(next, () -> committed(next));
		this.world.schedule().after(RETRY_NANOS, () -> {
			if (number == this.attempt) {
				skipIfInForce(next);
				submitNext();
			}
		});
	}

	private void committed(MembershipChange change) {
		if (!this.plan.isEmpty() && this.plan.get(0).equals(change)) {
			this.plan = this.plan.subList(1, this.plan.size());
			this.attempt++;
			this.world.schedule().after(0, this::submitNext);
		}
	}

	// The answer to an earlier try may have been lost with its leader.
	private void skipIfInForce(MembershipChange change) {
		boolean inForce = this.world.instances()
			.stream()
			.filter(RunInstance::holdsLease)
			.anyMatch((leader) -> isCommitted(leader, change));
		if (inForce && !this.plan.isEmpty() && this.plan.get(0).equals(change)) {
			this.plan = this.plan.subList(1, this.plan.size());
		}
	}

	private static boolean isCommitted(RunInstance leader, MembershipChange change) {
		return leader.status()
			.filter((status) -> status.commitIndex() == status.lastIndex())
			.filter((status) -> shows(status.membership(), change))
			.isPresent();
	}

	private static boolean shows(Membership membership, MembershipChange change) {
		InstanceId instance = change.instance();
		if (change instanceof RemoveMember) {
			return membership.find(instance).isEmpty();
		}
		boolean wantsVoter = change instanceof PromoteLearner;
		return membership.find(instance).map(Member::voter).filter((voter) -> voter || !wantsVoter).isPresent();
	}

	private void finish() {
		this.repairs++;
		if (this.world.random().nextDouble() < AT_ONCE_SHARE) {
			destroyOne();
		}
		else {
			start();
		}
	}

}

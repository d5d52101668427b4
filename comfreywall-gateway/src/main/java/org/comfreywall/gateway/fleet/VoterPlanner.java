package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.log.AddLearner;
import org.comfreywall.control.log.Member;
import org.comfreywall.control.log.Membership;
import org.comfreywall.control.log.MembershipChange;
import org.comfreywall.control.log.PromoteLearner;
import org.comfreywall.control.log.RemoveMember;

/**
 * Plans the next membership change of the replicated log at the leader, to reach the
 * target number of voters with intact data. Changes are made one at a time: a lost voter
 * is removed only after another process was promoted in its place.
 */
final class VoterPlanner {

	private final int targetVoters;

	/**
	 * Creates a planner.
	 * @param targetVoters the target number of voters
	 */
	VoterPlanner(int targetVoters) {
		this.targetVoters = targetVoters;
	}

	/**
	 * Returns the next change.
	 * @param current the current membership
	 * @param live the live processes that do not stop
	 * @param lost the instances of members that count as lost, as they are silent or stop
	 * @return the change, or empty if none is needed
	 */
	Optional<MembershipChange> nextChange(Membership current, List<FleetPeer> live, Set<String> lost) {
		Optional<FleetPeer> replaced = live.stream().filter((peer) -> hasNewStorage(current, peer)).findFirst();
		if (replaced.isPresent() && current.voters().size() > 1) {
			return Optional.of(new RemoveMember(InstanceId.of(replaced.get().instance())));
		}
		Predicate<Member> isLost = (member) -> lost.contains(member.instance().value());
		Optional<Member> lostVoter = current.voters().stream().filter(isLost).findFirst();
		if (current.voters().size() > this.targetVoters && lostVoter.isPresent()) {
			return Optional.of(new RemoveMember(lostVoter.get().instance()));
		}
		Optional<Member> lostLearner = current.members()
			.stream()
			.filter((member) -> !member.voter() && isLost.test(member))
			.findFirst();
		if (lostLearner.isPresent()) {
			return Optional.of(new RemoveMember(lostLearner.get().instance()));
		}
		boolean needsVoter = current.voters().size() < this.targetVoters + (lostVoter.isPresent() ? 1 : 0);
		if (!needsVoter) {
			return Optional.empty();
		}
		Optional<Member> learner = current.members().stream().filter((member) -> !member.voter()).findFirst();
		if (learner.isPresent()) {
			return Optional.of(new PromoteLearner(learner.get().instance()));
		}
		return live.stream()
			.filter((peer) -> peer.isDurable() && current.find(InstanceId.of(peer.instance())).isEmpty())
			.findFirst()
			.map((peer) -> new AddLearner(InstanceId.of(peer.instance()), peer.storageId()));
	}

	// Returns whether the process is a member but has another data folder than the one
	// that it joined with.
	private static boolean hasNewStorage(Membership current, FleetPeer peer) {
		return peer.isDurable() && current.find(InstanceId.of(peer.instance()))
			.filter((member) -> member.storageId() != peer.storageId())
			.isPresent();
	}

}

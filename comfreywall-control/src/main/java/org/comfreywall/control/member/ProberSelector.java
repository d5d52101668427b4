package org.comfreywall.control.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.Peer;

/**
 * Selects the nodes that probe a suspected node: the leader and up to
 * {@value #MAX_OTHER_PROBERS} active members that are currently reported. Members of
 * other failure domains than the suspected node's are preferred, and among them those
 * that are not sidecars.
 */
final class ProberSelector {

	private static final int MAX_OTHER_PROBERS = 2;

	private static final int MAX_SAMPLE_SIZE = 24;

	private final InstanceId self;

	private final Random random;

	ProberSelector(InstanceId self, long seed) {
		this.self = self;
		this.random = new Random(seed);
	}

	List<Peer> select(NodeDescriptor target, Collection<Member> members, Peer leader) {
		List<NodeDescriptor> candidates = new ArrayList<>();
		for (Member member : members) {
			if (canProbe(member, target)) {
				candidates.add(member.node());
			}
		}
		Collections.shuffle(candidates, this.random);
		List<NodeDescriptor> sample = candidates.subList(0, Math.min(MAX_SAMPLE_SIZE, candidates.size()));
		sample.sort(Comparator.comparing((NodeDescriptor node) -> node.domain().equals(target.domain()))
			.thenComparing((node) -> node.role() == NodeRole.SIDECAR));
		List<Peer> probers = new ArrayList<>();
		probers.add(leader);
		sample.stream().limit(MAX_OTHER_PROBERS).map(Peer::of).forEach(probers::add);
		return probers;
	}

	/**
	 * Counts the nodes that could probe a suspected node. Members that are not reported
	 * are included, because a leader that is partitioned from all other members would
	 * otherwise declare them failed without the result of another prober.
	 * @param target the suspected node
	 * @param members all members
	 * @return the number of nodes, including the leader
	 */
	int possibleProberCount(NodeDescriptor target, Collection<Member> members) {
		long others = members.stream()
			.filter((member) -> isOther(member, target) && member.state() != MemberState.FAILED)
			.count();
		return (int) others + 1;
	}

	private boolean canProbe(Member member, NodeDescriptor target) {
		return isOther(member, target) && member.isReported() && member.state() == MemberState.ACTIVE;
	}

	private boolean isOther(Member member, NodeDescriptor target) {
		return !member.id().equals(target.id()) && !member.id().equals(this.self);
	}

}

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
 * Picks the nodes that give an opinion on a node in doubt: the leader itself and others
 * that are heard, of other failure domains where there are such.
 */
final class ProberSelector {

	private static final int OTHERS = 2;

	private static final int SAMPLE = 24;

	private final InstanceId self;

	private final Random random;

	ProberSelector(InstanceId self, long seed) {
		this.self = self;
		this.random = new Random(seed);
	}

	List<Peer> select(NodeDescriptor target, Collection<Member> members, Peer leader) {
		List<NodeDescriptor> usable = new ArrayList<>();
		for (Member member : members) {
			if (isUsable(member, target)) {
				usable.add(member.node());
			}
		}
		Collections.shuffle(usable, this.random);
		List<NodeDescriptor> sample = usable.subList(0, Math.min(SAMPLE, usable.size()));
		sample.sort(Comparator.comparing((NodeDescriptor node) -> node.domain().equals(target.domain()))
			.thenComparing((node) -> node.role() == NodeRole.SIDECAR));
		List<Peer> probers = new ArrayList<>();
		probers.add(leader);
		sample.stream().limit(OTHERS).map(Peer::of).forEach(probers::add);
		return probers;
	}

	/**
	 * Counts the nodes whose opinion must be reckoned with, heard or not, so that a
	 * leader that hears nobody judges nobody.
	 * @param target the node in doubt
	 * @param members all members
	 * @return the count, the leader included
	 */
	int electorate(NodeDescriptor target, Collection<Member> members) {
		long others = members.stream()
			.filter((member) -> isOther(member, target) && member.state() != MemberState.FAILED)
			.count();
		return (int) others + 1;
	}

	private boolean isUsable(Member member, NodeDescriptor target) {
		return isOther(member, target) && member.isHeard() && member.state() == MemberState.ACTIVE;
	}

	private boolean isOther(Member member, NodeDescriptor target) {
		return !member.id().equals(target.id()) && !member.id().equals(this.self);
	}

}

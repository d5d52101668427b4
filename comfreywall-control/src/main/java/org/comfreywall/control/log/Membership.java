package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The members of the replicated log.
 *
 * @param members the members, each instance once
 */
public record Membership(List<Member> members) {

	/** No members. */
	public static final Membership EMPTY = new Membership(List.of());

	/** The maximum number of members. */
	public static final int MAX_MEMBERS = 9;

	public Membership {
		members = List.copyOf(members);
		Preconditions.check(members.size() <= MAX_MEMBERS, "members must be at most %d: %d", MAX_MEMBERS,
				members.size());
		long instances = members.stream().map(Member::instance).distinct().count();
		Preconditions.check(instances == members.size(), "members must contain each instance only once: %s", members);
	}

	/**
	 * Finds a member.
	 * @param instance the instance
	 * @return the member, or empty if the instance is not a member
	 */
	public Optional<Member> find(InstanceId instance) {
		return this.members.stream().filter((member) -> member.instance().equals(instance)).findFirst();
	}

	/**
	 * Returns the members that count towards a quorum.
	 * @return the voters
	 */
	public List<Member> voters() {
		return this.members.stream().filter(Member::voter).toList();
	}

	/**
	 * Returns the number of voters that form a quorum.
	 * @return the smallest majority
	 */
	public int quorum() {
		return voters().size() / 2 + 1;
	}

	/**
	 * Returns whether an instance with its data folder is a voter.
	 * @param instance the instance
	 * @param storageId the identifier of its data folder
	 * @return {@code true} if it counts towards a quorum
	 */
	public boolean isVoter(InstanceId instance, long storageId) {
		return this.members.stream().anyMatch((member) -> member.voter() && member.matches(instance, storageId));
	}

	Membership withLearner(InstanceId instance, long storageId) {
		List<Member> next = new ArrayList<>(this.members);
		next.add(new Member(instance, storageId, false));
		return new Membership(next);
	}

	Membership withVoter(InstanceId instance) {
		return new Membership(this.members.stream().map((member) -> promote(member, instance)).toList());
	}

	Membership without(InstanceId instance) {
		return new Membership(this.members.stream().filter((member) -> !member.instance().equals(instance)).toList());
	}

	private static Member promote(Member member, InstanceId instance) {
		return member.instance().equals(instance) ? new Member(instance, member.storageId(), true) : member;
	}

}

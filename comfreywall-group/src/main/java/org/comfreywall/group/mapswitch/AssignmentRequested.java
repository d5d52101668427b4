package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The control instance requested the assignment of a rank to a member.
 *
 * @param rank the rank
 * @param member the member
 */
public record AssignmentRequested(int rank, Member member) implements CoordinatorEvent {

	public AssignmentRequested {
		Preconditions.notNull(member, "member");
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
	}

}

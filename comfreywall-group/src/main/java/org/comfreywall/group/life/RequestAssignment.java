package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Requests from the coordinator that a rank be assigned to a member.
 *
 * @param rank the rank
 * @param member the member
 */
public record RequestAssignment(int rank, Member member) implements GroupCommand {

	public RequestAssignment {
		Preconditions.notNull(member, "member");
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
	}

}

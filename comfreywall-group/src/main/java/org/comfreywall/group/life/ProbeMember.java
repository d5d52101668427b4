package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Tries to reach a member on a new connection.
 *
 * @param member the member
 */
public record ProbeMember(Member member) implements GroupCommand {

	public ProbeMember {
		Preconditions.notNull(member, "member");
	}

}

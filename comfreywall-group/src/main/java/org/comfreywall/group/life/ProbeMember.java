package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Probes a member on a new connection, because its existing connection may be broken.
 *
 * @param member the member
 */
public record ProbeMember(Member member) implements GroupCommand {

	public ProbeMember {
		Preconditions.notNull(member, "member");
	}

}

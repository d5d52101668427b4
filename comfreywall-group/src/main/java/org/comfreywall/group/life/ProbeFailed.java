package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A probe of a member on a new connection failed.
 *
 * @param member the member
 */
public record ProbeFailed(Member member) implements GroupEvent {

	public ProbeFailed {
		Preconditions.notNull(member, "member");
	}

}

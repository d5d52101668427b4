package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A member or its engine was observed to exit.
 *
 * @param member the member
 */
public record MemberExited(Member member) implements GroupEvent {

	public MemberExited {
		Preconditions.notNull(member, "member");
	}

}

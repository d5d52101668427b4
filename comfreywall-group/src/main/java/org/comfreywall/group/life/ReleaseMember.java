package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Tells a member that it has no rank any more.
 *
 * @param member the member
 */
public record ReleaseMember(Member member) implements GroupCommand {

	public ReleaseMember {
		Preconditions.notNull(member, "member");
	}

}

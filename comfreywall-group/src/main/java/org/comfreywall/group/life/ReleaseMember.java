package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Notifies a member that its rank is no longer assigned to it.
 *
 * @param member the member
 */
public record ReleaseMember(Member member) implements GroupCommand {

	public ReleaseMember {
		Preconditions.notNull(member, "member");
	}

}

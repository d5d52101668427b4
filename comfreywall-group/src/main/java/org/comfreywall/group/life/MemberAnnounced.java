package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A member announced that it is available to run a rank.
 *
 * @param member the member
 */
public record MemberAnnounced(Member member) implements GroupEvent {

	public MemberAnnounced {
		Preconditions.notNull(member, "member");
	}

}

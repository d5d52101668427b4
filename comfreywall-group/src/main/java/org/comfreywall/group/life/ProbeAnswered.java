package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A member answered a probe on a new connection.
 *
 * @param member the member
 */
public record ProbeAnswered(Member member) implements GroupEvent {

	public ProbeAnswered {
		Preconditions.notNull(member, "member");
	}

}

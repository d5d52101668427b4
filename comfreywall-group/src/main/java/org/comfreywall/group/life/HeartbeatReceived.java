package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A member tells how far its engine is.
 *
 * @param member the member
 * @param step the step its engine is in, or -1 before the first
 * @param activity what its engine is doing
 */
public record HeartbeatReceived(Member member, long step, EngineActivity activity) implements GroupEvent {

	public HeartbeatReceived {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(activity, "activity");
	}

}

package org.comfreywall.group.life;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * A member reported the step and the activity of its engine.
 *
 * @param member the member
 * @param step the current step of the engine, or -1 before the first step
 * @param activity the activity of the engine
 */
public record HeartbeatReceived(Member member, long step, EngineActivity activity) implements GroupEvent {

	public HeartbeatReceived {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(activity, "activity");
	}

}

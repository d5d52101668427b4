package org.comfreywall.group.life;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * Snapshot of the state of one rank.
 *
 * @param rank the rank
 * @param member the member that runs the rank, or empty if none is assigned
 * @param health the health of the member
 * @param activity the activity of its engine in the latest heartbeat
 * @param step the latest reported step, or -1 before the first step
 */
public record RankView(int rank, Optional<Member> member, RankHealth health, EngineActivity activity, long step) {

	public RankView {
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.notNull(member, "member");
		Preconditions.notNull(health, "health");
		Preconditions.notNull(activity, "activity");
	}

}

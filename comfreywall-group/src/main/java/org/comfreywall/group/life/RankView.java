package org.comfreywall.group.life;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.Member;

/**
 * What is known of one rank.
 *
 * @param rank the rank
 * @param member the member that runs it, or empty if it has none
 * @param health what is known of the member
 * @param activity what its engine did when it last reported
 * @param step the latest step it reported, or -1
 */
public record RankView(int rank, Optional<Member> member, RankHealth health, EngineActivity activity, long step) {

	public RankView {
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		Preconditions.notNull(member, "member");
		Preconditions.notNull(health, "health");
		Preconditions.notNull(activity, "activity");
	}

}

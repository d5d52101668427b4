package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank knows how an attempt was decided.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 * @param id the attempt
 * @param waitedNanos how long the rank held a step for the decision, in nanoseconds
 */
public record SwitchReleased(int rank, Member member, SwitchId id, long waitedNanos) implements AgentReport {

	public SwitchReleased {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank asks how an attempt was decided.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 * @param id the attempt
 */
public record DecisionAsked(int rank, Member member, SwitchId id) implements AgentReport {

	public DecisionAsked {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

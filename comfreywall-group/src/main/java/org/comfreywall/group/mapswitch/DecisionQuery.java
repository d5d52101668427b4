package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank queries the decision of an attempt.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param id the attempt
 */
public record DecisionQuery(int rank, Member member, SwitchId id) implements AgentReport {

	public DecisionQuery {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank holds at the step of an attempt until it knows the decision.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 * @param id the attempt
 */
public record SwitchArmed(int rank, Member member, SwitchId id) implements AgentReport {

	public SwitchArmed {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

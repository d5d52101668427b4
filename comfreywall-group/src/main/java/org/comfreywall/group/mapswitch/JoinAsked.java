package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A new member asks what was decided so far.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 */
public record JoinAsked(int rank, Member member) implements AgentReport {

	public JoinAsked {
		Preconditions.notNull(member, "member");
	}

}

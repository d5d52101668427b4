package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A new member requests the membership generation and the map timeline.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 */
public record JoinRequest(int rank, Member member) implements AgentReport {

	public JoinRequest {
		Preconditions.notNull(member, "member");
	}

}

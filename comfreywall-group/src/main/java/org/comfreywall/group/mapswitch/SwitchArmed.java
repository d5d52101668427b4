package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank is armed: it holds before the first step of an attempt until it receives the
 * decision.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param id the attempt
 */
public record SwitchArmed(int rank, Member member, SwitchId id) implements AgentReport {

	public SwitchArmed {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank acknowledges the decision of an attempt.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param id the attempt
 * @param waitedNanos the time for which the rank held a step until the decision arrived,
 * in nanoseconds; 0 if it held none
 */
public record SwitchReleased(int rank, Member member, SwitchId id, long waitedNanos) implements AgentReport {

	public SwitchReleased {
		Preconditions.notNull(member, "member");
		Preconditions.notNull(id, "id");
	}

}

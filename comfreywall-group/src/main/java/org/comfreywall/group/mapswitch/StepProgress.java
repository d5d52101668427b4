package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank tells how far it is.
 *
 * @param rank the rank that reports
 * @param member the member that reports
 * @param lastStep the last step the rank was allowed to start, or -1
 * @param stepNanos the time between its last two steps, in nanoseconds; 0 if unknown
 */
public record StepProgress(int rank, Member member, long lastStep, long stepNanos) implements AgentReport {

	public StepProgress {
		Preconditions.notNull(member, "member");
	}

}

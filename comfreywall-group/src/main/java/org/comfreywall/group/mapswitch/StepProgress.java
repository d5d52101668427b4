package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A rank reports its progress.
 *
 * @param rank the reporting rank
 * @param member the reporting member
 * @param lastStep the last step the rank was allowed to start, or -1
 * @param stepNanos the smoothed time between two steps of the rank, in nanoseconds; 0 if
 * not yet measured
 */
public record StepProgress(int rank, Member member, long lastStep, long stepNanos) implements AgentReport {

	public StepProgress {
		Preconditions.notNull(member, "member");
	}

}

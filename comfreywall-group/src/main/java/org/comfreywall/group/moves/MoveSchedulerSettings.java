package org.comfreywall.group.moves;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the move scheduler.
 *
 * @param readTimeout how long a read may take before it is started again
 * @param maximumAttempts how often a move is tried before its plan is cancelled
 * @param maximumGroups the most groups with unfinished plans; bounds the state
 */
public record MoveSchedulerSettings(Duration readTimeout, int maximumAttempts, int maximumGroups) {

	/** Settings used unless set otherwise. */
	public static final MoveSchedulerSettings DEFAULT = new MoveSchedulerSettings(Duration.ofSeconds(30), 5, 256);

	public MoveSchedulerSettings {
		Preconditions.notNull(readTimeout, "readTimeout");
		Preconditions.check(readTimeout.toNanos() > 0, "readTimeout must be positive: %s", readTimeout);
		Preconditions.check(maximumAttempts >= 1, "maximumAttempts must be at least 1: %d", maximumAttempts);
		Preconditions.check(maximumGroups >= 1, "maximumGroups must be at least 1: %d", maximumGroups);
	}

}

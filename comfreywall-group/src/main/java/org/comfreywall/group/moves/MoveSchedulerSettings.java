package org.comfreywall.group.moves;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the move scheduler.
 *
 * @param readTimeout the time after which a read is cancelled and restarted
 * @param maximumAttempts the number of attempts of a move, after which its plan is
 * cancelled
 * @param maximumGroups the maximum number of groups with unfinished plans; bounds the
 * scheduler's memory
 */
public record MoveSchedulerSettings(Duration readTimeout, int maximumAttempts, int maximumGroups) {

	/** The default settings. */
	public static final MoveSchedulerSettings DEFAULT = new MoveSchedulerSettings(Duration.ofSeconds(30), 5, 256);

	public MoveSchedulerSettings {
		Preconditions.notNull(readTimeout, "readTimeout");
		Preconditions.check(readTimeout.toNanos() > 0, "readTimeout must be positive: %s", readTimeout);
		Preconditions.check(maximumAttempts >= 1, "maximumAttempts must be at least 1: %d", maximumAttempts);
		Preconditions.check(maximumGroups >= 1, "maximumGroups must be at least 1: %d", maximumGroups);
	}

}

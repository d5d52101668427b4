package org.comfreywall.entry.limit;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The request exceeds a limit and is not run.
 *
 * @param kind the limit or condition that was exceeded
 * @param retryAfter how long the caller should wait before it sends the request again
 */
public record LimitRefused(LimitKind kind, Duration retryAfter) implements LimitDecision {

	public LimitRefused {
		Preconditions.notNull(kind, "kind");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

package org.comfreywall.gateway.pool;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The request is rejected because it is not expected to start in time.
 *
 * @param request the request's identifier at this entry
 * @param reason the reason, for logs
 * @param retryAfter the delay after which the caller may retry
 */
public record SlotRefused(long request, String reason, Duration retryAfter) implements SlotDecision {

	public SlotRefused {
		Preconditions.notBlank(reason, "reason");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

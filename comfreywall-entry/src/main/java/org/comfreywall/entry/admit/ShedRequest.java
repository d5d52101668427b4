package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports to the caller of a queued request that it was not run.
 *
 * @param id the request
 * @param reason the reason for shedding it
 * @param retryAfter the time after which the caller should retry, from the expected wait
 * and random jitter
 */
public record ShedRequest(RequestId id, RefusalReason reason, Duration retryAfter) implements AdmissionCommand {

	public ShedRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells the caller of a queued request that it was not run.
 *
 * @param id the request
 * @param reason why
 * @param retryAfter when the backlog is expected to let such a request in
 */
public record ShedRequest(RequestId id, RefusalReason reason, Duration retryAfter) implements AdmissionCommand {

	public ShedRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The request is not run.
 *
 * @param reason why
 * @param retryAfter when the backlog is expected to let such a request in
 */
public record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionDecision {

	public Refused {
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * The request was refused and is not run.
 *
 * @param reason the reason for the refusal
 * @param retryAfter the time after which the caller should retry, from the expected wait
 * and random jitter
 */
public record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionDecision {

	public Refused {
		Preconditions.notNull(reason, "reason");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}

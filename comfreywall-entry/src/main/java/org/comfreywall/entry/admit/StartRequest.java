package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Starts a queued request; its end must be reported.
 *
 * @param id the request
 * @param queued how long it was queued
 */
public record StartRequest(RequestId id, Duration queued) implements AdmissionCommand {

	public StartRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(queued, "queued");
	}

}

package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Starts a queued request; the driver must report its end.
 *
 * @param id the request
 * @param queueTime its time in queue
 */
public record StartRequest(RequestId id, Duration queueTime) implements AdmissionCommand {

	public StartRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(queueTime, "queueTime");
	}

}

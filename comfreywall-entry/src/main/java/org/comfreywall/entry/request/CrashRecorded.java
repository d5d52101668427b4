package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The report of the loss of a request's backend server is durable on a quorum.
 *
 * @param request the request
 */
public record CrashRecorded(RequestId request) implements RequestEvent {

	public CrashRecorded {
		Preconditions.notNull(request, "request");
	}

}

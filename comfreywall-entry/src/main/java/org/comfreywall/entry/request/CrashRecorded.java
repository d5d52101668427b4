package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The crash report for a request's backend server was committed on a quorum.
 *
 * @param request the request
 */
public record CrashRecorded(RequestId request) implements RequestEvent {

	public CrashRecorded {
		Preconditions.notNull(request, "request");
	}

}

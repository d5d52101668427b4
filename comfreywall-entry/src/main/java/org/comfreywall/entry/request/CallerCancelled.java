package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The caller cancelled the request or disconnected.
 *
 * @param request the request
 */
public record CallerCancelled(RequestId request) implements RequestEvent {

	public CallerCancelled {
		Preconditions.notNull(request, "request");
	}

}

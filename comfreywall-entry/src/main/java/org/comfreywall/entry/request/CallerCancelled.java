package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The caller went away.
 *
 * @param request the request
 */
public record CallerCancelled(RequestId request) implements RequestEvent {

	public CallerCancelled {
		Preconditions.notNull(request, "request");
	}

}

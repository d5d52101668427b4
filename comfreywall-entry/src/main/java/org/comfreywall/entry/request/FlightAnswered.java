package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The guard of a fingerprint answered, or it cannot be reached and the request goes
 * ahead.
 *
 * @param request the request
 * @param permit the answer
 */
public record FlightAnswered(RequestId request, FlightPermit permit) implements RequestEvent {

	public FlightAnswered {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(permit, "permit");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The guard of a fingerprint responded, or it could not be reached and the request may
 * proceed.
 *
 * @param request the request
 * @param permit the permit; {@link FlightPermit#GO} if the guard could not be reached
 */
public record FlightAnswered(RequestId request, FlightPermit permit) implements RequestEvent {

	public FlightAnswered {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(permit, "permit");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Ask the guard of a fingerprint and answer with {@link FlightAnswered}; without a guard,
 * answer with {@link FlightPermit#GO} at once.
 *
 * @param request the request
 * @param fingerprint the fingerprint of the request
 */
public record AskFlight(RequestId request, Fingerprint fingerprint) implements RequestCommand {

	public AskFlight {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
	}

}

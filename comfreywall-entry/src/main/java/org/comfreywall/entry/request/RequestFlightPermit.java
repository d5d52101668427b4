package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Requests a permit to run from the guard of the fingerprint. The driver responds with
 * {@link FlightAnswered}; if no guard can be reached, with {@link FlightPermit#GO} at
 * once.
 *
 * @param request the request
 * @param fingerprint the fingerprint of the request
 * @param cleared whether the ledger of poison requests has just reported that the
 * fingerprint is not suspected
 */
public record RequestFlightPermit(RequestId request, Fingerprint fingerprint,
		boolean cleared) implements RequestCommand {

	public RequestFlightPermit {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
	}

}

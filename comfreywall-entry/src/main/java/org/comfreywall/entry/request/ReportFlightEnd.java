package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports to the guard of the fingerprint how a run ended.
 *
 * @param request the request
 * @param fingerprint the fingerprint of the request
 * @param end how the run ended
 */
public record ReportFlightEnd(RequestId request, Fingerprint fingerprint, FlightEnd end) implements RequestCommand {

	public ReportFlightEnd {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(end, "end");
	}

}

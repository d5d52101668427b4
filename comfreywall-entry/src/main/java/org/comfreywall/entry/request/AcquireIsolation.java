package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Requests the fleet-wide slot for isolated runs. The driver responds with
 * {@link IsolationAnswered}.
 *
 * @param request the request
 * @param fingerprint the suspected fingerprint
 */
public record AcquireIsolation(RequestId request, Fingerprint fingerprint) implements RequestCommand {

	public AcquireIsolation {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.util.Preconditions;

/**
 * Releases the slot for isolated runs. The driver retries until the ledger responds.
 *
 * @param request the request
 * @param fingerprint the suspected fingerprint
 * @param end how the isolated run ended
 */
public record ReleaseIsolation(RequestId request, Fingerprint fingerprint, IsolationEnd end) implements RequestCommand {

	public ReleaseIsolation {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(end, "end");
	}

}

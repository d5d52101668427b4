package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.util.Preconditions;

/**
 * The ledger of poison requests responded to a request for the slot for isolated runs.
 *
 * @param request the request
 * @param fingerprint the suspected fingerprint
 * @param result the result, committed on a quorum
 */
public record IsolationAnswered(RequestId request, Fingerprint fingerprint,
		IsolationResult result) implements RequestEvent {

	public IsolationAnswered {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(result, "result");
	}

}

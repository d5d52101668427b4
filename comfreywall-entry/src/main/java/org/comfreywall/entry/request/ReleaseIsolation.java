package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.util.Preconditions;

/**
 * Give the slot for isolated runs back; to be repeated until the ledger answers.
 *
 * @param request the request
 * @param fingerprint the suspect
 * @param end how the isolated run ended
 */
public record ReleaseIsolation(RequestId request, Fingerprint fingerprint, IsolationEnd end) implements RequestCommand {

	public ReleaseIsolation {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(end, "end");
	}

}

package org.comfreywall.entry.request;

import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Preconditions;

/**
 * A caller sent a request that passed admission.
 *
 * @param spec the request
 * @param deadline the caller's deadline in nanoseconds on the clock of the entry
 * @param verdict the cached verdict on the fingerprint
 */
public record RequestAccepted(RequestSpec spec, long deadline, PoisonVerdict verdict) implements RequestEvent {

	public RequestAccepted {
		Preconditions.notNull(spec, "spec");
		Preconditions.notNull(verdict, "verdict");
	}

}

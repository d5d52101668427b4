package org.comfreywall.common.attempt;

import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Properties of a request that the sidecar needs besides its body.
 *
 * @param fingerprint identifies repetitions of the request
 * @param idempotent whether the request may be run more than once
 * @param claimed whether an idempotency key is claimed for the request
 * @param isolated whether the request must run alone on the backend server
 */
public record AttemptTraits(Fingerprint fingerprint, boolean idempotent, boolean claimed, boolean isolated) {

	public AttemptTraits {
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.check(!(idempotent && claimed), "claimed requests must not be idempotent");
	}

}

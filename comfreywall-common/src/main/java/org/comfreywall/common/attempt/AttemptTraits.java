package org.comfreywall.common.attempt;

import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * What a sidecar must know about a request besides its body.
 *
 * @param fingerprint recognises the request when it is sent again
 * @param idempotent whether the request may be repeated
 * @param claimed whether an idempotency key is claimed for the request
 * @param isolated whether the request must run alone
 */
public record AttemptTraits(Fingerprint fingerprint, boolean idempotent, boolean claimed, boolean isolated) {

	public AttemptTraits {
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.check(!(idempotent && claimed), "claimed requests must not be idempotent");
	}

}

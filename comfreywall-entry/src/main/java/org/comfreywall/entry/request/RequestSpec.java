package org.comfreywall.entry.request;

import java.util.Optional;

import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * The properties of a caller's request that decide how it may be sent and retried.
 *
 * @param id the request; a caller that resends it gets a new identifier
 * @param fingerprint client account, service and digest of the body
 * @param key the idempotency key set by the caller
 * @param idempotent whether the request may run more than once; its key is then ignored
 * @param keyRequired whether the service rejects non-idempotent requests without a key
 */
public record RequestSpec(RequestId id, Fingerprint fingerprint, Optional<IdempotencyKey> key, boolean idempotent,
		boolean keyRequired) {

	public RequestSpec {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(key, "key");
	}

	/**
	 * Returns the key to claim before the request may run.
	 * @return the key, or empty if the request is idempotent or has none
	 */
	public Optional<ClaimKey> claimKey() {
		return this.idempotent ? Optional.empty()
				: this.key.map((value) -> new ClaimKey(this.fingerprint.account(), this.fingerprint.service(), value));
	}

}

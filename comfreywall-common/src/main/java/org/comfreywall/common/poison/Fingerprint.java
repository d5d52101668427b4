package org.comfreywall.common.poison;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies repetitions of a request independently of request id and idempotency key.
 *
 * @param account the client account
 * @param service the service
 * @param bodyDigest SHA-256 digest of the body in lower-case hexadecimal
 */
public record Fingerprint(AccountId account, ServiceId service, String bodyDigest) {

	public Fingerprint {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		Preconditions.notBlank(bodyDigest, "bodyDigest");
	}

}

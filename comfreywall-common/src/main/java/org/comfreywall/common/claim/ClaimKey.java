package org.comfreywall.common.claim;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a non-idempotent operation across all entry instances.
 *
 * @param account the client account
 * @param service the service
 * @param key the idempotency key chosen by the caller
 */
public record ClaimKey(AccountId account, ServiceId service, IdempotencyKey key) {

	public ClaimKey {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(key, "key");
	}

}

package org.comfreywall.entry.limit;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Preconditions;

/**
 * Proves that a request was admitted; handed back once when the request has ended.
 *
 * @param account the client account
 * @param grantor the grantor whose share it uses
 * @param tokens the tokens it was charged
 */
public record LimitPermit(AccountId account, GrantorRole grantor, long tokens) {

	public LimitPermit {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(grantor, "grantor");
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
	}

}

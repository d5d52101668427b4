package org.comfreywall.entry.limit;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Preconditions;

/**
 * The permit of one admitted request. The holder returns it exactly once, when the
 * request has ended.
 *
 * @param account the client account
 * @param grantor the grantor of the share that the request uses
 * @param tokens the tokens charged on admission
 */
public record LimitPermit(AccountId account, GrantorRole grantor, long tokens) {

	public LimitPermit {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(grantor, "grantor");
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
	}

}

package org.comfreywall.entry.limit;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * A request to be checked against the limits of its client account.
 *
 * @param id the request
 * @param account the client account that sent it
 * @param tokens the tokens charged: the prompt tokens plus the maximum number of
 * generated tokens; zero for a plain service
 */
public record LimitRequest(RequestId id, AccountId account, long tokens) {

	public LimitRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(account, "account");
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
	}

}

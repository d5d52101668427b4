package org.comfreywall.entry.limit;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * What the limits need to know about a request.
 *
 * @param id the request
 * @param account the client account that sent it
 * @param tokens the tokens it is charged: its prompt and the most it may generate; zero
 * for a plain service
 */
public record LimitRequest(RequestId id, AccountId account, long tokens) {

	public LimitRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(account, "account");
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
	}

}

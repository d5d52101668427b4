package org.comfreywall.common.lease;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Preconditions;

/**
 * A share of one client account's limits, granted to one holder.
 *
 * @param account the client account
 * @param requests requests that the holder may admit within the rate lease, each once
 * @param tokens tokens that the holder may spend within the rate lease, each once
 * @param slots total in-flight slots that the holder may use within the slot lease;
 * replaces the slots of the earlier grant
 */
public record AccountGrant(AccountId account, long requests, long tokens, long slots) {

	public AccountGrant {
		Preconditions.notNull(account, "account");
		Preconditions.check(requests >= 0, "requests must not be negative: %d", requests);
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
		Preconditions.check(slots >= 0, "slots must not be negative: %d", slots);
	}

}

package org.comfreywall.common.lease;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Preconditions;

/**
 * What a grantor grants for one client account.
 *
 * @param account the client account
 * @param requests requests that may be spent once within the rate term
 * @param tokens tokens that may be spent once within the rate term
 * @param slots in-flight slots the holder may use in all within the slot term; replaces
 * the earlier grant
 */
public record AccountGrant(AccountId account, long requests, long tokens, long slots) {

	public AccountGrant {
		Preconditions.notNull(account, "account");
		Preconditions.check(requests >= 0, "requests must not be negative: %d", requests);
		Preconditions.check(tokens >= 0, "tokens must not be negative: %d", tokens);
		Preconditions.check(slots >= 0, "slots must not be negative: %d", slots);
	}

}

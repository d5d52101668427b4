package org.comfreywall.entry.route;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a session of a client account.
 *
 * @param account the client account
 * @param value the session's name within the client account
 */
public record SessionId(AccountId account, String value) {

	public SessionId {
		Preconditions.notNull(account, "account");
		Preconditions.notBlank(value, "value");
	}

}

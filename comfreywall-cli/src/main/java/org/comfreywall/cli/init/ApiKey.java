package org.comfreywall.cli.init;

import org.comfreywall.common.id.AccountId;

/**
 * A new API key of a client account; shown once and stored nowhere.
 *
 * @param account the client account
 * @param secret the key
 */
record ApiKey(AccountId account, String secret) {

	@Override
	public String toString() {
		return "ApiKey[account=" + this.account + "]";
	}

}

package org.comfreywall.cli.init;

import org.comfreywall.common.id.AccountId;

/**
 * A generated API key of a client account. It is shown once; only its hash is stored.
 *
 * @param account the client account
 * @param secret the key in plain text
 */
record ApiKey(AccountId account, String secret) {

	@Override
	public String toString() {
		return "ApiKey[account=" + this.account + "]";
	}

}

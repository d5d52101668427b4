package org.comfreywall.entry.limit;

import java.util.Optional;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.id.AccountId;

/**
 * Looks up the configured limits of client accounts.
 */
@FunctionalInterface
public interface LimitSource {

	/**
	 * Finds the limits of a client account.
	 * @param account the client account
	 * @return its limits, or empty if it has none
	 */
	Optional<AccountLimits> limits(AccountId account);

}

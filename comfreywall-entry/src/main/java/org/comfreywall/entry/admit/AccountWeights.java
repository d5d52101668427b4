package org.comfreywall.entry.admit;

import org.comfreywall.common.id.AccountId;

/**
 * Weighs client accounts against each other within a priority class.
 */
@FunctionalInterface
public interface AccountWeights {

	/** Gives every client account the same weight. */
	AccountWeights EQUAL = (account) -> 1;

	/**
	 * Returns a client account's weight.
	 * @param account the client account
	 * @return the weight, above zero
	 */
	double weight(AccountId account);

}

package org.comfreywall.entry.admit;

import org.comfreywall.common.id.AccountId;

/**
 * Weights of the client accounts for fair queueing within a priority class.
 */
@FunctionalInterface
public interface AccountWeights {

	/** The same weight for every client account. */
	AccountWeights EQUAL = (account) -> 1;

	/**
	 * Returns a client account's weight.
	 * @param account the client account
	 * @return the weight, above zero
	 */
	double weight(AccountId account);

}

package org.comfreywall.common.lease;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A lease holder's demand for one client account, and what the holder has already been
 * granted.
 *
 * @param account the client account
 * @param requests additional requests needed for the next request interval
 * @param tokens additional tokens needed for the next request interval
 * @param smallestTokens the smallest useful grant of tokens: the cost of one request
 * @param refundedTokens tokens that were charged earlier but not generated
 * @param slots total number of in-flight slots needed; zero returns all slots
 * @param heldSlots the in-flight slots of the newest grant that the holder applied; it
 * uses no more until it applies a newer grant
 * @param heldTerm the grantor's term in which these slots were granted
 * @param heldSequence the sequence number of that grant, zero if there is none
 * @param usedSlots the requests currently in flight
 */
public record AccountDemand(AccountId account, long requests, long tokens, long smallestTokens, long refundedTokens,
		long slots, long heldSlots, Term heldTerm, long heldSequence, long usedSlots) {

	public AccountDemand {
		Preconditions.notNull(account, "account");
		requireNotNegative(requests, "requests");
		requireNotNegative(tokens, "tokens");
		requireNotNegative(smallestTokens, "smallestTokens");
		requireNotNegative(refundedTokens, "refundedTokens");
		requireNotNegative(slots, "slots");
		requireNotNegative(heldSlots, "heldSlots");
		Preconditions.notNull(heldTerm, "heldTerm");
		requireNotNegative(heldSequence, "heldSequence");
		requireNotNegative(usedSlots, "usedSlots");
	}

	private static void requireNotNegative(long value, String name) {
		Preconditions.check(value >= 0, "%s must not be negative: %d", name, value);
	}

}

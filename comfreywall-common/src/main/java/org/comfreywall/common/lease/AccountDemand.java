package org.comfreywall.common.lease;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * What a holder asks for one client account and what it holds.
 *
 * @param account the client account
 * @param requests further requests wanted for the next ask interval
 * @param tokens further tokens wanted for the next ask interval
 * @param smallestTokens the fewest tokens that are of use: the charge of one request
 * @param refundedTokens tokens spent earlier that were not generated
 * @param slots in-flight slots wanted in all, zero to give all back
 * @param heldSlots the slots the holder may use by the newest grant it took; until a
 * newer grant it uses no more
 * @param heldTerm the grantor's term in which these slots were granted
 * @param heldSequence the sequence number of that grant, zero if none
 * @param usedSlots requests in flight now
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

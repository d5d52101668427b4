package org.comfreywall.entry.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.AccountGrant;

/**
 * The requests, tokens and in-flight slots that one grantor has granted for one client
 * account, and the slots in use.
 */
final class GrantedShare {

	private static final int MAX_AMOUNTS = 64;

	private final List<SpendableAmount> amounts = new ArrayList<>();

	private long requests;

	private long tokens;

	private long tokenDebt;

	private long tokenRefund;

	private long slots;

	private long slotsUntil = Long.MIN_VALUE;

	private long heldSequence;

	private Term heldTerm = Term.ZERO;

	private long usedSlots;

	private long reportedSlots;

	GrantedShare(long heldSequence) {
		this.heldSequence = heldSequence;
	}

	void addGrant(AccountGrant grant, Term term, long sequence, long amountUntil, long slotsUntil, long now) {
		if (now < amountUntil && this.amounts.size() < MAX_AMOUNTS) {
			addAmount(grant, amountUntil);
		}
		if (now < slotsUntil && sequence > this.heldSequence) {
			this.slots = grant.slots();
			this.slotsUntil = slotsUntil;
			this.heldSequence = sequence;
			this.heldTerm = term;
		}
		this.reportedSlots = Math.max(this.reportedSlots, grant.slots());
	}

	boolean canAdmit(long tokens, long now) {
		removeExpired(now);
		return this.requests >= 1 && this.tokens >= tokens && this.usedSlots < slots(now);
	}

	void admit(long tokens) {
		this.requests--;
		this.tokens -= tokens;
		this.usedSlots++;
		long requestsLeft = 1;
		long tokensLeft = tokens;
		for (int i = 0; i < this.amounts.size() && requestsLeft + tokensLeft > 0; i++) {
			SpendableAmount amount = this.amounts.get(i);
			long fromRequests = Math.min(requestsLeft, amount.requests());
			long fromTokens = Math.min(tokensLeft, amount.tokens());
			this.amounts.set(i, amount.minus(fromRequests, fromTokens));
			requestsLeft -= fromRequests;
			tokensLeft -= fromTokens;
		}
		this.amounts.removeIf(SpendableAmount::isEmpty);
	}

	void finish(long charged, long spent) {
		this.usedSlots--;
		if (spent <= charged) {
			this.tokenRefund += charged - spent;
		}
		else {
			this.tokenDebt += spent - charged;
		}
	}

	/**
	 * Caps the number of held slots, which returns the rest to the grantor with the next
	 * lease request.
	 * @param needed the number of slots that this entry still needs
	 */
	void lowerSlots(long needed) {
		this.slots = Math.min(this.slots, needed);
	}

	/**
	 * Returns whether slots or tokens are to be returned to the grantor with the next
	 * lease request.
	 * @param now the time in nanoseconds
	 * @return {@code true} if there are slots to return or tokens to refund
	 */
	boolean hasUnreportedReturns(long now) {
		return this.tokenRefund > 0 || Math.max(slots(now), this.usedSlots) < this.reportedSlots;
	}

	void markReported(long now) {
		this.reportedSlots = Math.max(slots(now), this.usedSlots);
	}

	long takeRefund() {
		long result = this.tokenRefund;
		this.tokenRefund = 0;
		return result;
	}

	long requests(long now) {
		removeExpired(now);
		return this.requests;
	}

	long tokens(long now) {
		removeExpired(now);
		return this.tokens;
	}

	long slots(long now) {
		return (now < this.slotsUntil) ? this.slots : 0;
	}

	long usedSlots() {
		return this.usedSlots;
	}

	long heldSequence() {
		return this.heldSequence;
	}

	Term heldTerm() {
		return this.heldTerm;
	}

	boolean isInUse(long now) {
		return this.usedSlots > 0 || this.tokenRefund > 0 || slots(now) > 0;
	}

	private void addAmount(AccountGrant grant, long expiresAt) {
		long repaid = Math.min(this.tokenDebt, grant.tokens());
		this.tokenDebt -= repaid;
		SpendableAmount amount = new SpendableAmount(grant.requests(), grant.tokens() - repaid, expiresAt);
		if (amount.isEmpty()) {
			return;
		}
		int index = this.amounts.size();
		while (index > 0 && this.amounts.get(index - 1).expiresAt() > expiresAt) {
			index--;
		}
		this.amounts.add(index, amount);
		this.requests += amount.requests();
		this.tokens += amount.tokens();
	}

	private void removeExpired(long now) {
		Iterator<SpendableAmount> iterator = this.amounts.iterator();
		while (iterator.hasNext()) {
			SpendableAmount amount = iterator.next();
			if (now < amount.expiresAt()) {
				return;
			}
			this.requests -= amount.requests();
			this.tokens -= amount.tokens();
			iterator.remove();
		}
	}

}

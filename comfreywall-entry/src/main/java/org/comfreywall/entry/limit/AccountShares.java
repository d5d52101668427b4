package org.comfreywall.entry.limit;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseTerms;

/**
 * One client account's shares at this entry and its demand for more.
 */
final class AccountShares {

	private static final int IDLE_INTERVALS = 4;

	private static final long SPARE_SLOTS = 4;

	private static final double HORIZON_INTERVALS = 1.5;

	private final AccountId account;

	private final LeaseTerms terms;

	private final GrantedShare primary;

	private final GrantedShare reserve;

	private final OfferedRate offered;

	private long waiting;

	private long waitingTokens;

	private long offeredAt;

	private long shortAt = Long.MIN_VALUE;

	private double grantedPerNano;

	private long grantedAt;

	AccountShares(AccountId account, LeaseTerms terms, long primarySequence, long reserveSequence, long now) {
		this.account = account;
		this.terms = terms;
		this.primary = new GrantedShare(primarySequence);
		this.reserve = new GrantedShare(reserveSequence);
		this.offered = new OfferedRate(terms.askInterval().toNanos(), now);
		this.offeredAt = now;
		this.grantedAt = now;
	}

	void offered(long tokens, long now) {
		this.offered.add(tokens, now);
		this.offeredAt = now;
	}

	/**
	 * Notes a request that could not be admitted, for the next ask.
	 * @param tokens the tokens it is charged
	 */
	void unserved(long tokens) {
		this.waiting++;
		this.waitingTokens = Math.max(this.waitingTokens, tokens);
	}

	void answered(AccountDemand demand, AccountGrant grant, long now) {
		boolean ratesShort = grant.requests() < Math.min(1, demand.requests())
				|| grant.tokens() < Math.min(demand.smallestTokens(), demand.tokens());
		boolean slotsShort = grant.slots() < demand.slots() && grant.slots() <= demand.usedSlots();
		if (ratesShort || slotsShort || grant.requests() < demand.requests() || grant.tokens() < demand.tokens()) {
			this.shortAt = now;
		}
		long elapsed = Math.max(this.terms.askInterval().toNanos() / 4, now - this.grantedAt);
		this.grantedPerNano = (this.grantedPerNano + (double) grant.requests() / elapsed) / 2;
		this.grantedAt = now;
	}

	AccountDemand demand(GrantorRole role, boolean asked, long now) {
		GrantedShare share = share(role);
		boolean active = asked && isActive(now);
		double horizon = active ? HORIZON_INTERVALS * this.terms.askInterval().toNanos() : 0;
		long waits = active ? this.waiting : 0;
		double expected = this.offered.requestsPerNano(now) * horizon;
		long expectedTokens = Math.round(this.offered.tokensPerNano(now) * horizon);
		long spare = Math.min(Math.round(expected), Math.max(SPARE_SLOTS, share.used() / 2));
		long slots = active ? share.used() + waits + spare : 0;
		share.lowerSlots(slots);
		long smallest = active ? smallestTokens(expected, expectedTokens) : 0;
		long requests = Math.max(0, Math.round(expected) + waits - share.requests(now));
		long tokens = Math.max(0, expectedTokens + waits * smallest - share.tokens(now));
		return new AccountDemand(this.account, requests, tokens, Math.min(smallest, tokens), share.takeRefund(), slots,
				share.slots(now), share.heldTerm(), share.heldSequence(), share.used());
	}

	/**
	 * Forgets the requests that could not be admitted, once they have been asked for.
	 */
	void asked() {
		this.waiting = 0;
		this.waitingTokens = 0;
	}

	GrantedShare share(GrantorRole role) {
		return (role == GrantorRole.PRIMARY) ? this.primary : this.reserve;
	}

	boolean isShort(long now) {
		return this.shortAt != Long.MIN_VALUE && now - this.shortAt < 2 * this.terms.askInterval().toNanos();
	}

	boolean isActive(long now) {
		return now - this.offeredAt < IDLE_INTERVALS * this.terms.askInterval().toNanos();
	}

	boolean isUnused(long now) {
		return !isActive(now) && this.primary.used() == 0 && this.reserve.used() == 0;
	}

	double grantedPerNano() {
		return this.grantedPerNano;
	}

	long waiting() {
		return this.waiting;
	}

	private long smallestTokens(double expected, long expectedTokens) {
		if (this.waitingTokens > 0) {
			return this.waitingTokens;
		}
		return (expected > 0) ? Math.round(expectedTokens / expected) : 0;
	}

}

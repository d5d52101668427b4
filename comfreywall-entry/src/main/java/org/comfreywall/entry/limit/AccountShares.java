package org.comfreywall.entry.limit;

import java.util.Optional;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseTerms;

/**
 * The shares that this entry holds of one client account's limits, and the estimate of
 * its demand.
 */
final class AccountShares {

	private static final int IDLE_INTERVALS = 4;

	private static final long SPARE_SLOTS = 4;

	private static final long SHORT_ASKS_PER_INTERVAL = 4;

	private static final double HORIZON_INTERVALS = 1.5;

	private final AccountId account;

	private final LeaseTerms terms;

	private final GrantedShare primary;

	private final GrantedShare reserve;

	private final OfferedRate offeredRate;

	private long waiting;

	private long waitingTokens;

	private long offeredAt;

	private long askedAt = Long.MIN_VALUE;

	private long shortAt = Long.MIN_VALUE;

	private double grantedPerNano;

	private long grantedAt;

	AccountShares(AccountId account, LeaseTerms terms, long primarySequence, long reserveSequence, long now) {
		this.account = account;
		this.terms = terms;
		this.primary = new GrantedShare(primarySequence);
		this.reserve = new GrantedShare(reserveSequence);
		this.offeredRate = new OfferedRate(terms.askInterval().toNanos(), now);
		this.offeredAt = now;
		this.grantedAt = now;
	}

	void offered(long tokens, long now) {
		this.offeredRate.add(tokens, now);
		this.offeredAt = now;
	}

	/**
	 * Counts a request that could not be admitted, so that the next lease request covers
	 * it.
	 * @param tokens the tokens charged for the request
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

	/**
	 * Computes the demand to send to a grantor.
	 * @param role the grantor
	 * @param requestMore whether to request shares, or only to return slots and refund
	 * tokens
	 * @param now the time in nanoseconds
	 * @return the demand, or empty if there is nothing to request, return or refund
	 */
	Optional<AccountDemand> demand(GrantorRole role, boolean requestMore, long now) {
		GrantedShare share = share(role);
		boolean active = requestMore && isActive(now);
		double horizon = active ? HORIZON_INTERVALS * this.terms.askInterval().toNanos() : 0;
		long waitingRequests = active ? this.waiting : 0;
		double expectedRequests = this.offeredRate.requestsPerNano(now) * horizon;
		long expectedTokens = Math.round(this.offeredRate.tokensPerNano(now) * horizon);
		long availableRequests = share.requests(now);
		long maxSpareSlots = isShort(now) ? 1 : Math.max(SPARE_SLOTS, share.used() / 2);
		long spareSlots = Math.min(Math.round(expectedRequests), maxSpareSlots);
		long usableSlots = Math.max(waitingRequests + spareSlots, Math.min(availableRequests, SPARE_SLOTS));
		long slots = active ? share.used() + usableSlots : 0;
		share.lowerSlots((isShort(now) && availableRequests == 0) ? Math.min(slots, share.used()) : slots);
		long smallest = active ? smallestTokens(expectedRequests, expectedTokens) : 0;
		long requests = Math.max(0, Math.round(expectedRequests) + waitingRequests - availableRequests);
		long tokens = Math.max(0, expectedTokens + waitingRequests * smallest - share.tokens(now));
		boolean needsMore = requests > 0 || tokens > 0 || slots > share.used();
		if (!needsMore && !share.hasToGiveBack(now)) {
			return Optional.empty();
		}
		share.reported(now);
		return Optional.of(new AccountDemand(this.account, requests, tokens, Math.min(smallest, tokens),
				share.takeRefund(), slots, share.slots(now), share.heldTerm(), share.heldSequence(), share.used()));
	}

	/**
	 * Resets the count of requests that could not be admitted, after a lease request
	 * covered them.
	 * @param now the time in nanoseconds
	 */
	void asked(long now) {
		this.askedAt = now;
		this.waiting = 0;
		this.waitingTokens = 0;
	}

	GrantedShare share(GrantorRole role) {
		return (role == GrantorRole.PRIMARY) ? this.primary : this.reserve;
	}

	boolean isShort(long now) {
		return this.shortAt != Long.MIN_VALUE && now - this.shortAt < 2 * this.terms.askInterval().toNanos();
	}

	/**
	 * Returns whether a lease request may be sent before the regular interval has
	 * elapsed. While grants fall short of the demand, at most
	 * {@value #SHORT_ASKS_PER_INTERVAL} are sent per interval; otherwise, and for a first
	 * share, it may be sent at once.
	 * @param now the time in nanoseconds
	 * @return {@code true} if it may be sent
	 */
	boolean mayAskEarly(long now) {
		long gap = this.terms.askInterval().toNanos() / SHORT_ASKS_PER_INTERVAL;
		return this.askedAt == Long.MIN_VALUE || !isShort(now) || now - this.askedAt >= gap;
	}

	boolean isActive(long now) {
		return now - this.offeredAt < IDLE_INTERVALS * this.terms.askInterval().toNanos();
	}

	boolean isUnused(long now) {
		return !isActive(now) && this.primary.used() == 0 && this.reserve.used() == 0;
	}

	long slots(long now) {
		return Math.max(this.primary.slots(now), this.primary.used())
				+ Math.max(this.reserve.slots(now), this.reserve.used());
	}

	double grantedPerNano() {
		return this.grantedPerNano;
	}

	long waiting() {
		return this.waiting;
	}

	private long smallestTokens(double expectedRequests, long expectedTokens) {
		if (this.waitingTokens > 0) {
			return this.waitingTokens;
		}
		return (expectedRequests > 0) ? Math.round(expectedTokens / expectedRequests) : 0;
	}

}

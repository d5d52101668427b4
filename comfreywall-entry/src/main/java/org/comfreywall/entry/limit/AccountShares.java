package org.comfreywall.entry.limit;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
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

	private static final long SHORTFALL_REQUESTS_PER_INTERVAL = 4;

	private static final double HORIZON_INTERVALS = 1.5;

	private final AccountId account;

	private final LeaseTerms terms;

	private final GrantedShare primary;

	private final GrantedShare reserve;

	private final OfferedRate offeredRate;

	private final Set<RequestId> unadmittedRequests = new HashSet<>();

	private long maxUnadmittedTokens;

	private long lastOfferAt;

	private long lastRequestAt = Long.MIN_VALUE;

	private long lastShortfallAt = Long.MIN_VALUE;

	private double grantedPerNano;

	private long lastGrantAt;

	AccountShares(AccountId account, LeaseTerms terms, long primarySequence, long reserveSequence, long now) {
		this.account = account;
		this.terms = terms;
		this.primary = new GrantedShare(primarySequence);
		this.reserve = new GrantedShare(reserveSequence);
		this.offeredRate = new OfferedRate(terms.askInterval().toNanos(), now);
		this.lastOfferAt = now;
		this.lastGrantAt = now;
	}

	void recordOffer(long tokens, long now) {
		this.offeredRate.add(tokens, now);
		this.lastOfferAt = now;
	}

	/**
	 * Counts a request that could not be admitted, so that the next lease request covers
	 * it. A waiting request is offered every few milliseconds and counts once.
	 * @param request the request
	 */
	void recordUnadmitted(LimitRequest request) {
		this.unadmittedRequests.add(request.id());
		this.maxUnadmittedTokens = Math.max(this.maxUnadmittedTokens, request.tokens());
	}

	void recordGrant(AccountDemand demand, AccountGrant grant, long now) {
		boolean ratesShort = grant.requests() < Math.min(1, demand.requests())
				|| grant.tokens() < Math.min(demand.smallestTokens(), demand.tokens());
		boolean slotsShort = grant.slots() < demand.slots() && grant.slots() <= demand.usedSlots();
		if (ratesShort || slotsShort || grant.requests() < demand.requests() || grant.tokens() < demand.tokens()) {
			this.lastShortfallAt = now;
		}
		long elapsed = Math.max(this.terms.askInterval().toNanos() / 4, now - this.lastGrantAt);
		this.grantedPerNano = (this.grantedPerNano + (double) grant.requests() / elapsed) / 2;
		this.lastGrantAt = now;
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
		long waitingRequests = active ? this.unadmittedRequests.size() : 0;
		double expectedRequests = this.offeredRate.requestsPerNano(now) * horizon;
		long expectedTokens = Math.round(this.offeredRate.tokensPerNano(now) * horizon);
		long availableRequests = share.requests(now);
		long maxSpareSlots = hasShortfall(now) ? 1 : Math.max(SPARE_SLOTS, share.usedSlots() / 2);
		long spareSlots = Math.min(Math.round(expectedRequests), maxSpareSlots);
		long usableSlots = Math.max(waitingRequests + spareSlots, Math.min(availableRequests, SPARE_SLOTS));
		long slots = active ? share.usedSlots() + usableSlots : 0;
		share.lowerSlots((hasShortfall(now) && availableRequests == 0) ? Math.min(slots, share.usedSlots()) : slots);
		long smallest = active ? smallestTokens(expectedRequests, expectedTokens) : 0;
		long requests = Math.max(0, Math.round(expectedRequests) + waitingRequests - availableRequests);
		long tokens = Math.max(0, expectedTokens + waitingRequests * smallest - share.tokens(now));
		boolean needsMore = requests > 0 || tokens > 0 || slots > share.usedSlots();
		if (!needsMore && !share.hasUnreportedReturns(now)) {
			return Optional.empty();
		}
		share.markReported(now);
		return Optional
			.of(new AccountDemand(this.account, requests, tokens, Math.min(smallest, tokens), share.takeRefund(), slots,
					share.slots(now), share.heldTerm(), share.heldSequence(), share.usedSlots()));
	}

	/**
	 * Resets the count of requests that could not be admitted, after a lease request
	 * covered them.
	 * @param now the time in nanoseconds
	 */
	void markRequested(long now) {
		this.lastRequestAt = now;
		this.unadmittedRequests.clear();
		this.maxUnadmittedTokens = 0;
	}

	GrantedShare share(GrantorRole role) {
		return (role == GrantorRole.PRIMARY) ? this.primary : this.reserve;
	}

	boolean hasShortfall(long now) {
		return this.lastShortfallAt != Long.MIN_VALUE
				&& now - this.lastShortfallAt < 2 * this.terms.askInterval().toNanos();
	}

	/**
	 * Returns whether a lease request may be sent before the regular interval has
	 * elapsed. While grants fall short of the demand, at most
	 * {@value #SHORTFALL_REQUESTS_PER_INTERVAL} are sent per interval; otherwise, and for
	 * a first share, it may be sent at once.
	 * @param now the time in nanoseconds
	 * @return {@code true} if it may be sent
	 */
	boolean mayRequestEarly(long now) {
		long gap = this.terms.askInterval().toNanos() / SHORTFALL_REQUESTS_PER_INTERVAL;
		return this.lastRequestAt == Long.MIN_VALUE || !hasShortfall(now) || now - this.lastRequestAt >= gap;
	}

	boolean isActive(long now) {
		return now - this.lastOfferAt < IDLE_INTERVALS * this.terms.askInterval().toNanos();
	}

	boolean isUnused(long now) {
		return !isActive(now) && this.primary.usedSlots() == 0 && this.reserve.usedSlots() == 0;
	}

	long slots(long now) {
		return Math.max(this.primary.slots(now), this.primary.usedSlots())
				+ Math.max(this.reserve.slots(now), this.reserve.usedSlots());
	}

	double grantedPerNano() {
		return this.grantedPerNano;
	}

	long unadmittedRequests() {
		return this.unadmittedRequests.size();
	}

	private long smallestTokens(double expectedRequests, long expectedTokens) {
		if (this.maxUnadmittedTokens > 0) {
			return this.maxUnadmittedTokens;
		}
		return (expectedRequests > 0) ? Math.round(expectedTokens / expectedRequests) : 0;
	}

}

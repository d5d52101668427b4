package org.comfreywall.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;

/**
 * Checks the limits of one client account over all entry instances, independently of the
 * code under test: the rate of admitted requests and tokens, the requests in flight and
 * the leased amounts.
 */
final class AccountAudit {

	private final AccountLimits limits;

	private final double burstSeconds;

	private final LeakyBucketMeter requests;

	private final LeakyBucketMeter tokens;

	private final List<LeakyBucketMeter> requestsByGrantor = new ArrayList<>();

	private final List<LeakyBucketMeter> tokensByGrantor = new ArrayList<>();

	private final UnexpiredGrants leasedRequests = new UnexpiredGrants();

	private final UnexpiredGrants leasedTokens = new UnexpiredGrants();

	private final Map<Integer, Long> admittedByEntry = new HashMap<>();

	private long inFlight;

	private long peakInFlight;

	private long peakSlots;

	private long offeredTotal;

	private long refusedTotal;

	AccountAudit(AccountLimits limits, LeaseTerms terms, LimitDivision division) {
		this.limits = limits;
		this.burstSeconds = terms.burst().toNanos() / 1e9;
		this.requests = new LeakyBucketMeter(limits.requestsPerSecond(), this.burstSeconds);
		this.tokens = new LeakyBucketMeter(limits.tokensPerSecond(), this.burstSeconds);
		for (int i = 0; i <= division.reserveGrantors(); i++) {
			GrantorLimits part = (i == 0) ? division.primaryLimits(limits) : division.reserveLimits(limits);
			this.requestsByGrantor.add(new LeakyBucketMeter(part.requestsPerSecond(), this.burstSeconds));
			this.tokensByGrantor.add(new LeakyBucketMeter(part.tokensPerSecond(), this.burstSeconds));
		}
	}

	/**
	 * Records an admitted request.
	 * @param entry the index of the entry instance
	 * @param grantor the index of the grantor whose lease was used
	 * @param tokens the reserved tokens
	 * @param now the true time in nanoseconds
	 */
	void recordAdmission(int entry, int grantor, long tokens, long now) {
		this.requestsByGrantor.get(grantor).spend(1, now);
		this.tokensByGrantor.get(grantor).spend(tokens, now);
		this.requests.spend(1, now);
		this.tokens.spend(tokens, now);
		this.inFlight++;
		this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
		this.admittedByEntry.merge(entry, 1L, Long::sum);
	}

	void recordEnd() {
		this.inFlight--;
	}

	/**
	 * Records reserved tokens that were not used and that the grantor took back.
	 * @param grantor the index of the grantor
	 * @param tokens the number of tokens
	 * @param now the true time in nanoseconds
	 */
	void recordRefund(int grantor, long tokens, long now) {
		this.tokensByGrantor.get(grantor).refund(tokens, now);
		this.tokens.refund(tokens, now);
	}

	/**
	 * Records a lease.
	 * @param requests the number of leased requests
	 * @param tokens the number of leased tokens
	 * @param expiresAt the true time in nanoseconds at which the lease expires
	 * @param now the true time in nanoseconds
	 */
	void recordGrant(long requests, long tokens, long expiresAt, long now) {
		this.leasedRequests.add(requests, expiresAt, now);
		this.leasedTokens.add(tokens, expiresAt, now);
	}

	/**
	 * Records the in-flight slots that all entry instances hold or use at present.
	 * @param slots the number of slots
	 */
	void recordSlots(long slots) {
		this.peakSlots = Math.max(this.peakSlots, slots);
	}

	void recordOffer() {
		this.offeredTotal++;
	}

	void recordRefusal() {
		this.refusedTotal++;
	}

	long admittedBy(int entry) {
		return this.admittedByEntry.getOrDefault(entry, 0L);
	}

	long admittedCount() {
		return this.requests.spent();
	}

	long offeredCount() {
		return this.offeredTotal;
	}

	long refusedCount() {
		return this.refusedTotal;
	}

	/**
	 * Returns the peak use of a rate limit relative to its burst. Covers the rates of
	 * requests and tokens, of the whole limit and of the part that each grantor may
	 * lease.
	 * @return the share; above 1 if a limit or part was exceeded in some window of time
	 */
	double peakRateShare() {
		double whole = Math.max(this.requests.peakShare(), this.tokens.peakShare());
		return Math.max(whole, Math.max(worst(this.requestsByGrantor), worst(this.tokensByGrantor)));
	}

	/**
	 * Returns the peak number of requests in flight as a share of the limit.
	 * @return the share; above 1 if the limit was exceeded
	 */
	double peakInFlightShare() {
		return (double) this.peakInFlight / this.limits.inFlight();
	}

	/**
	 * Returns the peak sum of unexpired leases as a share of the limit, over requests,
	 * tokens and in-flight slots.
	 * @return the share; above 1 if the leases exceeded a limit
	 */
	double peakLeaseShare() {
		double requests = this.leasedRequests.peak() / (this.limits.requestsPerSecond() * this.burstSeconds);
		double tokens = this.leasedTokens.peak() / (this.limits.tokensPerSecond() * this.burstSeconds);
		double slots = (double) this.peakSlots / this.limits.inFlight();
		return Math.max(slots, Math.max(requests, tokens));
	}

	private static double worst(List<LeakyBucketMeter> windows) {
		return windows.stream().mapToDouble(LeakyBucketMeter::peakShare).max().orElse(0);
	}

}

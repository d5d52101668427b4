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
 * Watches one client account from outside the cores: what was admitted, what runs and
 * what is leased, over all entries.
 */
final class AccountAudit {

	private final AccountLimits limits;

	private final double burstSeconds;

	private final RateWindow requests;

	private final RateWindow tokens;

	private final List<RateWindow> requestsByGrantor = new ArrayList<>();

	private final List<RateWindow> tokensByGrantor = new ArrayList<>();

	private final LiveGrants liveRequests = new LiveGrants();

	private final LiveGrants liveTokens = new LiveGrants();

	private final Map<Integer, Long> admittedByEntry = new HashMap<>();

	private long running;

	private long mostRunning;

	private long mostSlots;

	private long offered;

	private long refused;

	AccountAudit(AccountLimits limits, LeaseTerms terms, LimitDivision division) {
		this.limits = limits;
		this.burstSeconds = terms.burst().toNanos() / 1e9;
		this.requests = new RateWindow(limits.requestsPerSecond(), this.burstSeconds);
		this.tokens = new RateWindow(limits.tokensPerSecond(), this.burstSeconds);
		for (int i = 0; i <= division.reserveGrantors(); i++) {
			GrantorLimits part = (i == 0) ? division.primaryLimits(limits) : division.reserveLimits(limits);
			this.requestsByGrantor.add(new RateWindow(part.requestsPerSecond(), this.burstSeconds));
			this.tokensByGrantor.add(new RateWindow(part.tokensPerSecond(), this.burstSeconds));
		}
	}

	void admitted(int entry, int grantor, long tokens, long now) {
		this.requestsByGrantor.get(grantor).spend(1, now);
		this.tokensByGrantor.get(grantor).spend(tokens, now);
		this.requests.spend(1, now);
		this.tokens.spend(tokens, now);
		this.running++;
		this.mostRunning = Math.max(this.mostRunning, this.running);
		this.admittedByEntry.merge(entry, 1L, Long::sum);
	}

	void ended() {
		this.running--;
	}

	void refunded(int grantor, long tokens, long now) {
		this.tokensByGrantor.get(grantor).refund(tokens, now);
		this.tokens.refund(tokens, now);
	}

	void granted(long requests, long tokens, long until, long now) {
		this.liveRequests.add(requests, until, now);
		this.liveTokens.add(tokens, until, now);
	}

	void held(long slots) {
		this.mostSlots = Math.max(this.mostSlots, slots);
	}

	void offered() {
		this.offered++;
	}

	void refused() {
		this.refused++;
	}

	long admittedBy(int entry) {
		return this.admittedByEntry.getOrDefault(entry, 0L);
	}

	long admitted() {
		return this.requests.spent();
	}

	long offeredCount() {
		return this.offered;
	}

	long refusedCount() {
		return this.refused;
	}

	/**
	 * Returns the worst use of the rate limits in any window, over all grantors or of the
	 * part of one, as a share of the limit or part with its burst.
	 * @return the share; above 1 a limit was exceeded
	 */
	double worstWindow() {
		double all = Math.max(this.requests.worst(), this.tokens.worst());
		return Math.max(all, Math.max(worst(this.requestsByGrantor), worst(this.tokensByGrantor)));
	}

	/**
	 * Returns the worst number of requests in flight as a share of the limit.
	 * @return the share; above 1 the limit was exceeded
	 */
	double worstInFlight() {
		return (double) this.mostRunning / this.limits.inFlight();
	}

	/**
	 * Returns the worst sum of live leases as a share of the limit.
	 * @return the share; above 1 the leases exceeded a limit
	 */
	double worstLeases() {
		double requests = this.liveRequests.most() / (this.limits.requestsPerSecond() * this.burstSeconds);
		double tokens = this.liveTokens.most() / (this.limits.tokensPerSecond() * this.burstSeconds);
		double slots = (double) this.mostSlots / this.limits.inFlight();
		return Math.max(slots, Math.max(requests, tokens));
	}

	private static double worst(List<RateWindow> windows) {
		return windows.stream().mapToDouble(RateWindow::worst).max().orElse(0);
	}

}

package org.comfreywall.bench.limits;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * Offers requests of one client account to one entry instance at one and a half times the
 * account's rate limit and measures the share of the limit that is admitted. The limit is
 * either unused before, or used by all entry instances for five seconds before. The first
 * two seconds of the load on the one entry instance are not measured, the following
 * {@value #MEASURED_SECONDS} are.
 */
final class SingleEntryRun {

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final int ENTRIES = 1100;

	private static final long LIMIT_REQUESTS_PER_SECOND = 1000;

	private static final long TOKENS_PER_REQUEST = 200;

	private static final long REQUEST_DURATION_NANOS = 200_000_000;

	private static final int MEASURED_SECONDS = 5;

	private final RandomGenerator random;

	private final LimitsFleet fleet;

	private final boolean afterSharedUse;

	private double admittedShare;

	SingleEntryRun(long seed, boolean afterSharedUse) {
		this.random = new SplittableRandom(seed);
		this.afterSharedUse = afterSharedUse;
		LimitSettings settings = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, 7),
				Duration.ofMillis(250), Duration.ofMillis(25));
		// Ten times the tokens and five times the in-flight requests that the limit on
		// requests per second needs.
		AccountLimits limits = new AccountLimits(LIMIT_REQUESTS_PER_SECOND,
				10 * LIMIT_REQUESTS_PER_SECOND * TOKENS_PER_REQUEST, 1000);
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, List.of(limits), settings, 5_000_000, 0.001),
				this.random, new RegionalNetwork(this.random, 7));
	}

	void run() {
		this.fleet.events().runUntil(130 * NANOS_PER_SECOND);
		if (this.afterSharedUse) {
			offerFor(5, ENTRIES);
		}
		offerFor(2, 1);
		long admittedBefore = this.fleet.audits().get(0).admittedBy(0);
		offerFor(MEASURED_SECONDS, 1);
		long admitted = this.fleet.audits().get(0).admittedBy(0) - admittedBefore;
		this.admittedShare = (double) admitted / (MEASURED_SECONDS * LIMIT_REQUESTS_PER_SECOND);
	}

	/**
	 * Returns the admitted rate of the one entry instance as a share of the limit on
	 * requests per second.
	 * @return the share
	 */
	double admittedShare() {
		return this.admittedShare;
	}

	double peakRateShare() {
		return this.fleet.audits().get(0).peakRateShare();
	}

	/**
	 * Advances virtual time and offers requests to random entry instances at one and a
	 * half times the limit.
	 * @param seconds the duration in seconds
	 * @param entries the number of entry instances, counted from index 0, that receive
	 * the requests
	 */
	private void offerFor(int seconds, int entries) {
		long intervalNanos = NANOS_PER_SECOND * 2 / (3 * LIMIT_REQUESTS_PER_SECOND);
		long end = this.fleet.events().now() + seconds * NANOS_PER_SECOND;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + intervalNanos);
			this.fleet.offer(this.random.nextInt(entries), 0, TOKENS_PER_REQUEST, REQUEST_DURATION_NANOS);
		}
	}

}

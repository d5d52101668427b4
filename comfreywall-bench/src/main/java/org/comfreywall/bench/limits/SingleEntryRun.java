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
 * Measures how much of the limit of a client account one entry instance can use. It
 * offers one and a half times the limit, either without earlier use or after all entry
 * instances have used the limit together. Its admitted rate is measured from two seconds
 * later on.
 */
final class SingleEntryRun {

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final int ENTRIES = 1100;

	private static final long REQUESTS_PER_SECOND = 1000;

	private static final long TOKENS_PER_REQUEST = 200;

	private static final long RUN_NANOS = 200_000_000;

	private static final int MEASURED_SECONDS = 5;

	private final RandomGenerator random;

	private final LimitsFleet fleet;

	private final boolean preloadAllEntries;

	private double admittedShare;

	SingleEntryRun(long seed, boolean preloadAllEntries) {
		this.random = new SplittableRandom(seed);
		this.preloadAllEntries = preloadAllEntries;
		LimitSettings settings = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, 7),
				Duration.ofMillis(250), Duration.ofMillis(25));
		AccountLimits limits = new AccountLimits(REQUESTS_PER_SECOND, 10 * REQUESTS_PER_SECOND * TOKENS_PER_REQUEST,
				1000);
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, List.of(limits), settings, 5_000_000, 0.001),
				this.random, new RegionalNetwork(this.random, 7));
	}

	void run() {
		this.fleet.events().runUntil(130 * SECOND_NANOS);
		if (this.preloadAllEntries) {
			offerFor(5, ENTRIES);
		}
		offerFor(2, 1);
		long before = this.fleet.audits().get(0).admittedBy(0);
		offerFor(MEASURED_SECONDS, 1);
		long admitted = this.fleet.audits().get(0).admittedBy(0) - before;
		this.admittedShare = (double) admitted / (MEASURED_SECONDS * REQUESTS_PER_SECOND);
	}

	/**
	 * Returns the admitted rate of the one entry instance as a share of the limit.
	 * @return the share
	 */
	double admittedShare() {
		return this.admittedShare;
	}

	double peakRateShare() {
		return this.fleet.audits().get(0).peakRateShare();
	}

	/**
	 * Offers requests at one and a half times the limit.
	 * @param seconds the duration in seconds
	 * @param entries the number of entry instances over which the requests are spread
	 */
	private void offerFor(int seconds, int entries) {
		long intervalNanos = SECOND_NANOS * 2 / (3 * REQUESTS_PER_SECOND);
		long end = this.fleet.events().now() + seconds * SECOND_NANOS;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + intervalNanos);
			this.fleet.offer(this.random.nextInt(entries), 0, TOKENS_PER_REQUEST, RUN_NANOS);
		}
	}

}

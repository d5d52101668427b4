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
 * One entry offers one and a half times a client account's limit, either from cold or
 * after all entries shared the limit; its admitted rate is taken from two seconds later
 * on.
 */
final class LoneEntryRun {

	private static final long SECOND = 1_000_000_000;

	private static final int ENTRIES = 1100;

	private static final long REQUESTS_PER_SECOND = 1000;

	private static final long TOKENS = 200;

	private static final long RUN_NANOS = 200_000_000;

	private static final int MEASURED_SECONDS = 5;

	private final RandomGenerator random;

	private final LimitsFleet fleet;

	private final boolean shared;

	private double share;

	LoneEntryRun(long seed, boolean shared) {
		this.random = new SplittableRandom(seed);
		this.shared = shared;
		LimitSettings settings = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, 7),
				Duration.ofMillis(250), Duration.ofMillis(25));
		AccountLimits limits = new AccountLimits(REQUESTS_PER_SECOND, 10 * REQUESTS_PER_SECOND * TOKENS, 1000);
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, List.of(limits), settings, 5_000_000, 0.001),
				this.random, new RegionLink(this.random, 7));
	}

	void run() {
		this.fleet.events().runUntil(130 * SECOND);
		if (this.shared) {
			offer(5, ENTRIES);
		}
		offer(2, 1);
		long before = this.fleet.audits().get(0).admittedBy(0);
		offer(MEASURED_SECONDS, 1);
		long admitted = this.fleet.audits().get(0).admittedBy(0) - before;
		this.share = (double) admitted / (MEASURED_SECONDS * REQUESTS_PER_SECOND);
	}

	double share() {
		return this.share;
	}

	double worstWindow() {
		return this.fleet.audits().get(0).worstWindow();
	}

	private void offer(int seconds, int entries) {
		long gap = SECOND * 2 / (3 * REQUESTS_PER_SECOND);
		long end = this.fleet.events().now() + seconds * SECOND;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + gap);
			this.fleet.offer(this.random.nextInt(entries), 0, TOKENS, RUN_NANOS);
		}
	}

}

package org.comfreywall.bench.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * The whole fleet at its peak load: large client accounts offer more than their limits,
 * entries restart, and one region is cut off from the primary grantor for a while.
 */
final class FleetRun {

	static final int ENTRIES = 1100;

	static final int ACCOUNTS = 5300;

	static final int SECONDS = 20;

	private static final long SECOND = 1_000_000_000;

	private static final long REQUESTS_PER_SECOND = 33_000;

	private static final int REGIONS = 7;

	private static final double SKEW = 0.9;

	private static final double TIGHT_LIMIT = 0.7;

	private static final double AMPLE_LIMIT = 2;

	private static final long LONGEST_TOKENS = 600;

	private final RandomGenerator random;

	private final RegionLink link;

	private final LimitsFleet fleet;

	private final double[] cumulative = new double[ACCOUNTS];

	private final List<AccountLimits> limits = new ArrayList<>();

	private long restarts;

	private long cutOffAdmitted;

	FleetRun(long seed) {
		this.random = new SplittableRandom(seed);
		this.link = new RegionLink(this.random, REGIONS);
		spreadLoad();
		LimitSettings settings = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, REGIONS),
				Duration.ofMillis(250), Duration.ofMillis(25));
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, this.limits, settings, 10_000_000, 0.001), this.random,
				this.link);
	}

	void run() {
		this.fleet.events().runUntil(130 * SECOND);
		for (int second = 0; second < SECONDS; second++) {
			if (second == 8) {
				this.link.cut(true);
				this.cutOffAdmitted -= admittedInCutRegion();
			}
			if (second == 15) {
				this.cutOffAdmitted += admittedInCutRegion();
				this.link.cut(false);
			}
			this.fleet.restartEntry(this.random.nextInt(ENTRIES));
			this.restarts++;
			offerOneSecond();
			for (int account = 0; account < 20; account++) {
				this.fleet.auditSlots(account);
			}
		}
	}

	long offered() {
		return this.fleet.audits().stream().mapToLong(AccountAudit::offeredCount).sum();
	}

	long admitted() {
		return this.fleet.audits().stream().mapToLong(AccountAudit::admitted).sum();
	}

	/**
	 * Returns what was admitted as a share of what the limits allow of what was offered.
	 * @return the share
	 */
	double admittedOfAllowed() {
		double allowed = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			double most = this.limits.get(i).requestsPerSecond() * SECONDS;
			allowed += Math.min(most, this.fleet.audits().get(i).offeredCount());
		}
		return admitted() / allowed;
	}

	long cutOffAdmitted() {
		return this.cutOffAdmitted;
	}

	long restarts() {
		return this.restarts;
	}

	double asksPerSecond() {
		return (double) this.fleet.grantor(0).asks() / SECONDS;
	}

	double demandsPerSecond() {
		return (double) this.fleet.grantor(0).demands() / SECONDS;
	}

	double microsPerDemand() {
		return this.fleet.grantor(0).busyNanos() / 1e3 / this.fleet.grantor(0).demands();
	}

	double coreShare() {
		return this.fleet.grantor(0).busyNanos() / 1e9 / SECONDS;
	}

	double worstWindow() {
		return worst(AccountAudit::worstWindow);
	}

	double worstInFlight() {
		return worst(AccountAudit::worstInFlight);
	}

	double worstLeases() {
		return worst(AccountAudit::worstLeases);
	}

	long breaches() {
		return this.fleet.breaches();
	}

	private void spreadLoad() {
		double sum = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			sum += 1 / Math.pow(i + 1, SKEW);
			this.cumulative[i] = sum;
		}
		double before = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			double rate = REQUESTS_PER_SECOND * (this.cumulative[i] - before) / sum;
			before = this.cumulative[i];
			double allowed = (i % 3 == 0) ? TIGHT_LIMIT * rate : AMPLE_LIMIT * rate;
			long requests = Math.max(1, Math.round(allowed));
			this.limits.add(new AccountLimits(requests, requests * LONGEST_TOKENS, 2 + requests));
		}
	}

	private void offerOneSecond() {
		long gap = SECOND / REQUESTS_PER_SECOND;
		long end = this.fleet.events().now() + SECOND;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + gap);
			int account = account();
			this.fleet.offer(this.random.nextInt(ENTRIES), account, this.random.nextLong(LONGEST_TOKENS),
					this.random.nextLong(SECOND));
		}
	}

	private int account() {
		double value = this.random.nextDouble() * this.cumulative[ACCOUNTS - 1];
		int index = Arrays.binarySearch(this.cumulative, value);
		return (index >= 0) ? index : Math.min(ACCOUNTS - 1, -index - 1);
	}

	private long admittedInCutRegion() {
		long sum = 0;
		for (AccountAudit audit : this.fleet.audits()) {
			for (int entry = 1; entry < ENTRIES; entry += REGIONS) {
				sum += audit.admittedBy(entry);
			}
		}
		return sum;
	}

	private double worst(ToDoubleFunction<AccountAudit> share) {
		return this.fleet.audits().stream().mapToDouble(share).max().orElse(0);
	}

}

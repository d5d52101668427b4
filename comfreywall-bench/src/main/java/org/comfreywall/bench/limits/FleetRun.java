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
 * Simulates a fleet of {@value #ENTRIES} entry instances at peak load. A third of the
 * large client accounts offer more than their limits, entry instances restart, and one
 * region is partitioned from the primary grantor for seven seconds.
 */
final class FleetRun {

	static final int ENTRIES = 1100;

	static final int ACCOUNTS = 5300;

	static final int SECONDS = 20;

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final long REQUESTS_PER_SECOND = 33_000;

	private static final int REGIONS = 7;

	private static final double ZIPF_EXPONENT = 0.9;

	private static final double TIGHT_LIMIT_TO_LOAD = 0.7;

	private static final double AMPLE_LIMIT_TO_LOAD = 2;

	private static final long MAX_TOKENS_PER_REQUEST = 600;

	private final RandomGenerator random;

	private final RegionalNetwork network;

	private final LimitsFleet fleet;

	private final double[] cumulativeWeights = new double[ACCOUNTS];

	private final List<AccountLimits> limits = new ArrayList<>();

	private long entryRestarts;

	private long admittedDuringPartition;

	FleetRun(long seed) {
		this.random = new SplittableRandom(seed);
		this.network = new RegionalNetwork(this.random, REGIONS);
		initializeLoadAndLimits();
		LimitSettings settings = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, REGIONS),
				Duration.ofMillis(250), Duration.ofMillis(25));
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, this.limits, settings, 10_000_000, 0.001), this.random,
				this.network);
	}

	void run() {
		this.fleet.events().runUntil(130 * SECOND_NANOS);
		for (int second = 0; second < SECONDS; second++) {
			if (second == 8) {
				this.network.setPartitioned(true);
				this.admittedDuringPartition -= countAdmittedInPartitionedRegion();
			}
			if (second == 15) {
				this.admittedDuringPartition += countAdmittedInPartitionedRegion();
				this.network.setPartitioned(false);
			}
			this.fleet.restartEntry(this.random.nextInt(ENTRIES));
			this.entryRestarts++;
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
		return this.fleet.audits().stream().mapToLong(AccountAudit::admittedCount).sum();
	}

	/**
	 * Returns the admitted requests as a share of those that could have been admitted: of
	 * each client account the offered requests, up to its limit.
	 * @return the share
	 */
	double admittedShareOfAllowed() {
		double allowed = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			double limit = this.limits.get(i).requestsPerSecond() * SECONDS;
			allowed += Math.min(limit, this.fleet.audits().get(i).offeredCount());
		}
		return admitted() / allowed;
	}

	/**
	 * Returns the number of requests that the partitioned region admitted during the
	 * partition.
	 * @return the number of requests
	 */
	long admittedDuringPartition() {
		return this.admittedDuringPartition;
	}

	long entryRestarts() {
		return this.entryRestarts;
	}

	double leaseRequestsPerSecond() {
		return (double) this.fleet.grantor(0).leaseRequests() / SECONDS;
	}

	double demandsPerSecond() {
		return (double) this.fleet.grantor(0).demands() / SECONDS;
	}

	double microsPerDemand() {
		return this.fleet.grantor(0).busyNanos() / 1e3 / this.fleet.grantor(0).demands();
	}

	/**
	 * Returns the CPU time of the primary grantor as a share of one core, over
	 * {@value #SECONDS} simulated seconds.
	 * @return the share
	 */
	double grantorCpuShare() {
		return this.fleet.grantor(0).busyNanos() / 1e9 / SECONDS;
	}

	double peakRateShare() {
		return maxOverAccounts(AccountAudit::peakRateShare);
	}

	double peakInFlightShare() {
		return maxOverAccounts(AccountAudit::peakInFlightShare);
	}

	double peakLeaseShare() {
		return maxOverAccounts(AccountAudit::peakLeaseShare);
	}

	long invariantViolations() {
		return this.fleet.invariantViolations();
	}

	/**
	 * Spreads the load over the client accounts by a Zipf distribution and sets their
	 * limits in proportion to their load: every third limit is below the load and the
	 * others are above it, but each is at least one request per second.
	 */
	private void initializeLoadAndLimits() {
		double sum = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
			this.cumulativeWeights[i] = sum;
		}
		double previous = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			double rate = REQUESTS_PER_SECOND * (this.cumulativeWeights[i] - previous) / sum;
			previous = this.cumulativeWeights[i];
			double limit = (i % 3 == 0) ? TIGHT_LIMIT_TO_LOAD * rate : AMPLE_LIMIT_TO_LOAD * rate;
			long requests = Math.max(1, Math.round(limit));
			this.limits.add(new AccountLimits(requests, requests * MAX_TOKENS_PER_REQUEST, 2 + requests));
		}
	}

	private void offerOneSecond() {
		long intervalNanos = SECOND_NANOS / REQUESTS_PER_SECOND;
		long end = this.fleet.events().now() + SECOND_NANOS;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + intervalNanos);
			int account = randomAccount();
			this.fleet.offer(this.random.nextInt(ENTRIES), account, this.random.nextLong(MAX_TOKENS_PER_REQUEST),
					this.random.nextLong(SECOND_NANOS));
		}
	}

	private int randomAccount() {
		double value = this.random.nextDouble() * this.cumulativeWeights[ACCOUNTS - 1];
		int index = Arrays.binarySearch(this.cumulativeWeights, value);
		return (index >= 0) ? index : Math.min(ACCOUNTS - 1, -index - 1);
	}

	private long countAdmittedInPartitionedRegion() {
		long sum = 0;
		for (AccountAudit audit : this.fleet.audits()) {
			for (int entry = 1; entry < ENTRIES; entry += REGIONS) {
				sum += audit.admittedBy(entry);
			}
		}
		return sum;
	}

	private double maxOverAccounts(ToDoubleFunction<AccountAudit> share) {
		return this.fleet.audits().stream().mapToDouble(share).max().orElse(0);
	}

}

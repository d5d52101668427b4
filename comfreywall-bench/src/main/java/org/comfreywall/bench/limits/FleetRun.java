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
 * Simulates a fleet of {@value #ENTRIES} entry instances under a load of
 * {@value #OFFERED_REQUESTS_PER_SECOND} requests per second. Every third client account
 * offers more than its limit on average, entry instances restart, and one region is
 * partitioned from the primary grantor for seven seconds, from second 8 to second 15 of
 * the load.
 */
final class FleetRun {

	static final int ENTRIES = 1100;

	static final int ACCOUNTS = 5300;

	/** The duration of the load in simulated seconds. */
	static final int SECONDS = 20;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final long OFFERED_REQUESTS_PER_SECOND = 33_000;

	private static final int REGIONS = 7;

	private static final double ZIPF_EXPONENT = 0.9;

	private static final double TIGHT_LIMIT_TO_LOAD_RATIO = 0.7;

	private static final double AMPLE_LIMIT_TO_LOAD_RATIO = 2;

	private static final long MAX_TOKENS_PER_REQUEST = 600;

	private final RandomGenerator random;

	private final RegionalNetwork network;

	private final LimitsFleet fleet;

	private final double[] cumulativeLoadWeights = new double[ACCOUNTS];

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
		this.fleet.events().runUntil(130 * NANOS_PER_SECOND);
		for (int second = 0; second < SECONDS; second++) {
			if (second == 8) {
				this.network.setPartitioned(true);
				// Subtracts the count at the start; the count at the end is added below.
				this.admittedDuringPartition -= countAdmittedInPartitionedRegion();
			}
			if (second == 15) {
				this.admittedDuringPartition += countAdmittedInPartitionedRegion();
				this.network.setPartitioned(false);
			}
			this.fleet.restartEntry(this.random.nextInt(ENTRIES));
			this.entryRestarts++;
			offerOneSecond();
			// The 20 client accounts with the highest load; each audit visits all entry
			// instances.
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
	 * Returns the number of admitted requests as a share of the sum, over all client
	 * accounts, of the lesser of the offered requests and the rate limit times
	 * {@value #SECONDS} seconds.
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
	 * Returns the number of requests that the entry instances of the partitioned region
	 * admitted during the partition.
	 * @return the number of requests
	 */
	long admittedDuringPartition() {
		return this.admittedDuringPartition;
	}

	long entryRestarts() {
		return this.entryRestarts;
	}

	/**
	 * Returns the number of lease requests to the primary grantor per simulated second of
	 * the load.
	 * @return the requests per second
	 */
	double leaseRequestsPerSecond() {
		return (double) this.fleet.grantor(0).leaseRequests() / SECONDS;
	}

	/**
	 * Returns the number of account demands to the primary grantor per simulated second
	 * of the load.
	 * @return the demands per second
	 */
	double demandsPerSecond() {
		return (double) this.fleet.grantor(0).demands() / SECONDS;
	}

	/**
	 * Returns the CPU time of the primary grantor per account demand.
	 * @return the CPU time in microseconds
	 */
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
	 * Computes the Zipf-distributed load of the client accounts and sets their limits in
	 * proportion: of every third account {@value #TIGHT_LIMIT_TO_LOAD_RATIO} times its
	 * load, of the others {@value #AMPLE_LIMIT_TO_LOAD_RATIO} times, rounded, but at
	 * least one request per second.
	 */
	private void initializeLoadAndLimits() {
		double sum = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
			this.cumulativeLoadWeights[i] = sum;
		}
		double previous = 0;
		for (int i = 0; i < ACCOUNTS; i++) {
			double loadPerSecond = OFFERED_REQUESTS_PER_SECOND * (this.cumulativeLoadWeights[i] - previous) / sum;
			previous = this.cumulativeLoadWeights[i];
			double limitPerSecond = (i % 3 == 0) ? TIGHT_LIMIT_TO_LOAD_RATIO * loadPerSecond
					: AMPLE_LIMIT_TO_LOAD_RATIO * loadPerSecond;
			long requestsPerSecond = Math.max(1, Math.round(limitPerSecond));
			// The limits on tokens and in-flight requests leave room: a request takes 300
			// tokens and runs for half a second on average.
			this.limits.add(new AccountLimits(requestsPerSecond, requestsPerSecond * MAX_TOKENS_PER_REQUEST,
					2 + requestsPerSecond));
		}
	}

	private void offerOneSecond() {
		long intervalNanos = NANOS_PER_SECOND / OFFERED_REQUESTS_PER_SECOND;
		long end = this.fleet.events().now() + NANOS_PER_SECOND;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + intervalNanos);
			int account = randomAccount();
			this.fleet.offer(this.random.nextInt(ENTRIES), account, this.random.nextLong(MAX_TOKENS_PER_REQUEST),
					this.random.nextLong(NANOS_PER_SECOND));
		}
	}

	private int randomAccount() {
		double target = this.random.nextDouble() * this.cumulativeLoadWeights[ACCOUNTS - 1];
		int index = Arrays.binarySearch(this.cumulativeLoadWeights, target);
		return (index >= 0) ? index : Math.min(ACCOUNTS - 1, -index - 1);
	}

	private long countAdmittedInPartitionedRegion() {
		long sum = 0;
		for (AccountAudit audit : this.fleet.audits()) {
			// Region 1, which RegionalNetwork partitions.
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

package org.comfreywall.bench.limits;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.entry.limit.LimitSettings;

/**
 * Runs leased limits under random faults with a fixed seed. Each step offers requests,
 * restarts an instance, starts or ends a partition, changes the rates of the clocks, or
 * lets time pass and picks another hot client account.
 * <p>
 * Most requests go to the hot client account, so that its limits are fully used. After
 * every {@value #STEPS_BETWEEN_STARVATION_CHECKS} steps all faults are suspended and each
 * entry instance must get requests of each client account admitted.
 */
final class RandomLimitsRun {

	private static final long MILLI_NANOS = 1_000_000;

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final int ENTRIES = 6;

	private static final int RESERVE_GRANTORS = 2;

	private static final long STEPS_BETWEEN_STARVATION_CHECKS = 10_000;

	private static final LeaseTerms TERMS = new LeaseTerms(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofSeconds(6), Duration.ofSeconds(2), Duration.ofMillis(400), 0.001);

	private static final List<AccountLimits> LIMITS = List.of(new AccountLimits(1, 100, 1),
			new AccountLimits(5, 20_000, 3), new AccountLimits(40, 2000, 60), new AccountLimits(300, 100_000, 12),
			new AccountLimits(20, 1_000_000, 400));

	private final RandomGenerator random;

	private final FaultyNetwork network;

	private final LimitsFleet fleet;

	private int hotAccount;

	private long entryRestarts;

	private long grantorRestarts;

	private long partitionChanges;

	private long starvationChecks;

	private long starved;

	RandomLimitsRun(long seed) {
		this.random = new SplittableRandom(seed);
		this.network = new FaultyNetwork(this.random, ENTRIES, 1 + RESERVE_GRANTORS);
		LimitSettings settings = new LimitSettings(TERMS, new LimitDivision(0.2, RESERVE_GRANTORS),
				Duration.ofMillis(250), Duration.ofMillis(25));
		this.fleet = new LimitsFleet(new FleetSettings(ENTRIES, LIMITS, settings, 5 * MILLI_NANOS, TERMS.clockDrift()),
				this.random, this.network);
	}

	RandomLimitsResult run(long steps) {
		for (long step = 1; step <= steps; step++) {
			step();
			if (step % STEPS_BETWEEN_STARVATION_CHECKS == 0) {
				checkStarvation();
			}
		}
		List<AccountAudit> audits = this.fleet.audits();
		return new RandomLimitsResult(audits.stream().mapToLong(AccountAudit::offeredCount).sum(),
				audits.stream().mapToLong(AccountAudit::admittedCount).sum(), this.entryRestarts, this.grantorRestarts,
				this.partitionChanges, this.starvationChecks, this.starved,
				maxOverAccounts(AccountAudit::peakRateShare), maxOverAccounts(AccountAudit::peakInFlightShare),
				maxOverAccounts(AccountAudit::peakLeaseShare), this.fleet.invariantViolations());
	}

	private void step() {
		this.fleet.events().runUntil(this.fleet.events().now() + this.random.nextLong(6 * MILLI_NANOS));
		int action = this.random.nextInt(2000);
		if (action == 0) {
			this.fleet.restartGrantor(this.random.nextInt(1 + RESERVE_GRANTORS));
			this.grantorRestarts++;
		}
		else if (action < 5) {
			this.fleet.restartEntry(this.random.nextInt(ENTRIES));
			this.entryRestarts++;
		}
		else if (action < 10) {
			this.network.togglePartition(this.random.nextInt(ENTRIES), this.random.nextInt(1 + RESERVE_GRANTORS));
			this.partitionChanges++;
		}
		else if (action < 15) {
			this.fleet.changeClockRates();
		}
		else if (action < 20) {
			this.fleet.events().runUntil(this.fleet.events().now() + this.random.nextLong(6 * SECOND_NANOS));
			this.hotAccount = this.random.nextInt(LIMITS.size());
		}
		else {
			offerBurst();
		}
		this.fleet.auditSlots(this.random.nextInt(LIMITS.size()));
	}

	private void offerBurst() {
		boolean hot = this.random.nextInt(4) > 0;
		int account = hot ? this.hotAccount : this.random.nextInt(LIMITS.size());
		int requests = hot ? this.random.nextInt(8) : 1;
		int entry = this.random.nextInt(ENTRIES);
		for (int i = 0; i < requests; i++) {
			offer(entry, account, 5 * SECOND_NANOS);
		}
	}

	private void offer(int entry, int account, long maxRunNanos) {
		long maxTokens = Math.min(LIMITS.get(account).tokensPerSecond(), 2000);
		long runLimit = (this.random.nextInt(4) == 0) ? maxRunNanos : maxRunNanos / 50;
		this.fleet.offer(entry, account, this.random.nextLong(maxTokens), this.random.nextLong(runLimit));
	}

	/**
	 * Suspends all faults and waits until leases have recovered. Then counts the pairs of
	 * entry instance and client account of which no request is admitted.
	 */
	private void checkStarvation() {
		this.network.setFaultsDisabled(true);
		offerFor(25 * SECOND_NANOS);
		long[][] before = admittedByEntryAndAccount();
		offerFor(80 * SECOND_NANOS);
		long[][] after = admittedByEntryAndAccount();
		for (int i = 0; i < ENTRIES; i++) {
			for (int j = 0; j < LIMITS.size(); j++) {
				this.starvationChecks++;
				this.starved += (after[i][j] == before[i][j]) ? 1 : 0;
			}
		}
		this.network.setFaultsDisabled(false);
	}

	private void offerFor(long nanos) {
		long end = this.fleet.events().now() + nanos;
		while (this.fleet.events().now() < end) {
			this.fleet.events().runUntil(this.fleet.events().now() + 50 * MILLI_NANOS);
			for (int i = 0; i < ENTRIES; i++) {
				offer(i, this.random.nextInt(LIMITS.size()), SECOND_NANOS);
			}
		}
	}

	private long[][] admittedByEntryAndAccount() {
		long[][] result = new long[ENTRIES][LIMITS.size()];
		for (int i = 0; i < ENTRIES; i++) {
			for (int j = 0; j < LIMITS.size(); j++) {
				result[i][j] = this.fleet.audits().get(j).admittedBy(i);
			}
		}
		return result;
	}

	private double maxOverAccounts(ToDoubleFunction<AccountAudit> share) {
		return this.fleet.audits().stream().mapToDouble(share).max().orElse(0);
	}

}

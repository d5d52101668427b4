package org.comfreywall.bench.limits;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Measures leased limits with 1,100 entry instances and 5,300 client accounts, under
 * restarts and the partition of a region, and the share of a limit that a single busy
 * entry instance can use.
 * <p>
 * A rate limit holds in a window of time if the amount admitted in it is at most the rate
 * times the length of the window plus the burst, which is two seconds of the rate. Tokens
 * count when a request is admitted; refunds count once the grantor has taken them back.
 */
public final class LimitsMeasurement implements Measurement {

	private static final double MIN_ENTRY_SHARE = 0.95;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		measureFleet(options, reporter);
		measureLoneEntry(options, reporter);
	}

	private void measureFleet(BenchOptions options, Reporter reporter) {
		FleetRun run = new FleetRun(options.seed());
		run.run();
		reporter.result("fleet", Field.of("seed", options.seed()), Field.of("entries", FleetRun.ENTRIES),
				Field.of("client-accounts", FleetRun.ACCOUNTS), Field.of("seconds", FleetRun.SECONDS),
				Field.of("offered", run.offered()), Field.of("admitted", run.admitted()),
				Field.of("admitted-of-allowed-share", format(run.admittedShareOfAllowed())),
				Field.of("cut-off-admitted", run.admittedDuringPartition()),
				Field.of("entry-restarts", run.entryRestarts()));
		reporter.result("messages", Field.of("grantor-asks-per-second", format(run.leaseRequestsPerSecond())),
				Field.of("grantor-demands-per-second", format(run.demandsPerSecond())),
				Field.of("entry-asks-per-second", format(run.leaseRequestsPerSecond() / FleetRun.ENTRIES)),
				Field.of("grantor-micros-per-demand", format(run.microsPerDemand())),
				Field.of("grantor-core-share", format(run.grantorCpuShare())));
		reporter.atMost("worst-window-share", run.peakRateShare(), 1);
		reporter.atMost("worst-in-flight-share", run.peakInFlightShare(), 1);
		reporter.atMost("worst-live-lease-share", run.peakLeaseShare(), 1);
		reporter.atMost("invariant-breaches", run.invariantViolations(), 0);
	}

	private void measureLoneEntry(BenchOptions options, Reporter reporter) {
		SingleEntryRun cold = new SingleEntryRun(options.seed(), false);
		cold.run();
		SingleEntryRun afterSharedUse = new SingleEntryRun(options.seed(), true);
		afterSharedUse.run();
		reporter.result("lone-entry", Field.of("from-cold-share", format(cold.admittedShare())),
				Field.of("after-shared-use-share", format(afterSharedUse.admittedShare())));
		reporter.atLeast("lone-entry-share-from-cold", cold.admittedShare(), MIN_ENTRY_SHARE);
		reporter.atLeast("lone-entry-share-after-shared-use", afterSharedUse.admittedShare(), MIN_ENTRY_SHARE);
		reporter.atMost("lone-entry-worst-window-share", Math.max(cold.peakRateShare(), afterSharedUse.peakRateShare()),
				1);
	}

	private static String format(double value) {
		return String.format("%.4g", value);
	}

}

package org.comfreywall.bench.limits;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Measures leased limits over 1,100 entries with 5,300 client accounts, with churn and
 * the partition of a region, and the share of a limit that one busy entry can use.
 * <p>
 * A rate limit with burst holds in a window if what was admitted in it is at most the
 * rate times the window's length plus what the rate brings in two seconds. Tokens count
 * at admission, and refunds once the grantor has taken them back.
 */
public final class LimitsMeasurement implements Measurement {

	private static final double ENTRY_SHARE = 0.95;

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
				Field.of("admitted-of-allowed-share", format(run.admittedOfAllowed())),
				Field.of("cut-off-admitted", run.cutOffAdmitted()), Field.of("entry-restarts", run.restarts()));
		reporter.result("messages", Field.of("grantor-asks-per-second", format(run.asksPerSecond())),
				Field.of("grantor-demands-per-second", format(run.demandsPerSecond())),
				Field.of("entry-asks-per-second", format(run.asksPerSecond() / FleetRun.ENTRIES)),
				Field.of("grantor-micros-per-demand", format(run.microsPerDemand())),
				Field.of("grantor-core-share", format(run.coreShare())));
		reporter.atMost("worst-window-share", run.worstWindow(), 1);
		reporter.atMost("worst-in-flight-share", run.worstInFlight(), 1);
		reporter.atMost("worst-live-lease-share", run.worstLeases(), 1);
		reporter.atMost("invariant-breaches", run.breaches(), 0);
	}

	private void measureLoneEntry(BenchOptions options, Reporter reporter) {
		LoneEntryRun cold = new LoneEntryRun(options.seed(), false);
		cold.run();
		LoneEntryRun after = new LoneEntryRun(options.seed(), true);
		after.run();
		reporter.result("lone-entry", Field.of("from-cold-share", format(cold.share())),
				Field.of("after-shared-use-share", format(after.share())));
		reporter.atLeast("lone-entry-share-from-cold", cold.share(), ENTRY_SHARE);
		reporter.atLeast("lone-entry-share-after-shared-use", after.share(), ENTRY_SHARE);
		reporter.atMost("lone-entry-worst-window-share", Math.max(cold.worstWindow(), after.worstWindow()), 1);
	}

	private static String format(double value) {
		return String.format("%.4g", value);
	}

}

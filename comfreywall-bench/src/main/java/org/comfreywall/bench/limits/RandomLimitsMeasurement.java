package org.comfreywall.bench.limits;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Runs leased limits under random faults and checks, independently of the code under
 * test, that no limit is exceeded and that no entry instance is starved of a client
 * account's limit.
 */
public final class RandomLimitsMeasurement implements Measurement {

	private static final long DEFAULT_STEPS = 100_000;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		long steps = options.steps(DEFAULT_STEPS);
		RandomLimitsResult result = new RandomLimitsRun(options.seed()).run(steps);
		reporter.result("limits-random", Field.of("seed", options.seed()), Field.of("steps", steps),
				Field.of("offered", result.offered()), Field.of("admitted", result.admitted()),
				Field.of("entry-restarts", result.entryRestarts()),
				Field.of("grantor-restarts", result.grantorRestarts()), Field.of("cuts", result.partitionChanges()),
				Field.of("starvation-checks", result.starvationChecks()));
		reporter.atMost("worst-window-share", result.peakRateShare(), 1);
		reporter.atMost("worst-in-flight-share", result.peakInFlightShare(), 1);
		reporter.atMost("worst-live-lease-share", result.peakLeaseShare(), 1);
		reporter.atMost("starved", result.starved(), 0);
		reporter.atMost("invariant-breaches", result.invariantViolations(), 0);
		reporter.atLeast("admitted", result.admitted(), 1);
	}

}

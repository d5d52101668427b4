package org.comfreywall.bench.control;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Runs the replicated log under random faults and checks its safety independently of the
 * invariants that the replica cores check themselves.
 */
public final class ControlRandomMeasurement implements Measurement {

	private static final long DEFAULT_STEPS = 400_000;

	private static final int[] CLUSTER_SIZES = { 3, 5 };

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		long steps = options.steps(DEFAULT_STEPS);
		for (int size : CLUSTER_SIZES) {
			report(size, new LogRandomRun(options.seed(), size).run(steps), options, reporter);
		}
	}

	private static void report(int size, LogRandomRunResult result, BenchOptions options, Reporter reporter) {
		result.violations().forEach((violation) -> reporter.result("violation", Field.of("what", violation)));
		reporter.result("control-random", Field.of("seed", options.seed()), Field.of("instances", size),
				Field.of("steps", result.steps()), Field.of("terms", result.terms()),
				Field.of("committed", result.committed()), Field.of("acknowledged", result.acknowledged()),
				Field.of("claims", result.claims()), Field.of("faults", result.faults()),
				Field.of("repairs", result.repairs()));
		reporter.atMost("control-random-violations", result.violations().size(), 0);
		reporter.atMost("control-random-invariant-breaches", result.breaches(), 0);
	}

}

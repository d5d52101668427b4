package org.comfreywall.bench.spread;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Runs dissemination, membership and orders under random faults and reports violations of
 * their invariants.
 */
public final class SpreadRandomMeasurement implements Measurement {

	/** The default number of steps. */
	public static final long DEFAULT_STEPS = 100_000;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		long steps = options.steps(DEFAULT_STEPS);
		SpreadRandomRun run = new SpreadRandomRun(options.seed());
		run.run(steps);
		run.violations()
			.examples()
			.forEach((example) -> reporter.result("control-spread-random-violation", Field.of("what", example)));
		reporter.result("control-spread-random", Field.of("seed", options.seed()), Field.of("steps", steps),
				Field.of("events", run.fleet().time().processed()), Field.of("terms", run.fleet().term()),
				Field.of("revisions", run.fleet().accepted().size()),
				Field.of("failures-judged", run.checker().detectedFailures()),
				Field.of("orders-accepted", run.orders().acceptedOrders()),
				Field.of("orders-fenced", run.orders().fencedOrders()));
		reporter.atMost("control-spread-random-violations", run.violations().total(), 0);
	}

}

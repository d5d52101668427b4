package org.comfreywall.bench.routing;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Runs a router on random events and reports each violation of its invariants.
 */
public final class RandomRouterMeasurement implements Measurement {

	private static final long DEFAULT_STEPS = 300_000;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		RandomRouterRun run = new RandomRouterRun(options.seed());
		run.run(options.steps(DEFAULT_STEPS));
		reporter.result("routing-random", Field.of("seed", options.seed()), Field.of("choices", run.choices()),
				Field.of("refusals", run.refusals()), Field.of("ejections", run.ejections()));
		run.violations().forEach((violation) -> reporter.result("violation", Field.of("what", violation)));
		reporter.atMost("routing-random-violations", run.violations().size(), 0);
	}

}

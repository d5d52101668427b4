package org.comfreywall.bench.overload;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.Field;

/**
 * Measures goodput up to twice the capacity and after it, against a queue in order of
 * arrival, and the amplification by retries when every backend server fails.
 */
public final class OverloadMeasurement implements Measurement {

	private static final int CALLERS_SENDS = 4;

	private static final int AT_CAPACITY = 1;

	private static final int AT_TWICE = 3;

	private static final int ACCOUNTS = 5300;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		OverloadRun admitted = measure("admission", new OverloadRun(options.seed(), true, CALLERS_SENDS), reporter);
		measure("fifo", new OverloadRun(options.seed(), false, CALLERS_SENDS), reporter);
		measure("fifo-unlimited-retries", new OverloadRun(options.seed(), false, Integer.MAX_VALUE), reporter);
		reporter.atLeast("goodput-at-2x-of-1x", admitted.goodput(AT_TWICE) / admitted.goodput(AT_CAPACITY), 0.95);
		reporter.atMost("recovery-seconds", admitted.recoverySeconds(), 5);
		reporter.atLeast("batch-shed-before-interactive", admitted.refusedShare(PriorityClass.BATCH, AT_TWICE)
				- admitted.refusedShare(PriorityClass.INTERACTIVE, AT_TWICE), 0);
		measureRetries(options, reporter);
	}

	private OverloadRun measure(String name, OverloadRun run, Reporter reporter) {
		run.run();
		List<Field> fields = new ArrayList<>();
		for (int i = 0; i < OverloadRun.PHASES.size(); i++) {
			fields.add(Field.of("goodput-" + OverloadRun.PHASES.get(i).name() + "-per-second",
					Math.round(run.goodput(i))));
		}
		fields.add(Field.of("recovery-seconds", run.recoverySeconds()));
		fields.add(Field.of("answered-at-once-after-share", String.format("%.3f", run.answeredAtOnceAfter())));
		for (PriorityClass priority : PriorityClass.values()) {
			fields.add(Field.of("refused-at-2x-" + priority.name().toLowerCase() + "-share",
					String.format("%.3f", run.refusedShare(priority, AT_TWICE))));
		}
		reporter.result(name, fields.toArray(Field[]::new));
		return run;
	}

	private void measureRetries(BenchOptions options, Reporter reporter) {
		double cold = new RetryStorm(options.seed(), ACCOUNTS).amplification(200_000);
		RetryStorm few = new RetryStorm(options.seed(), 10);
		few.healthy(10_000);
		double afterHealth = few.amplification(500);
		reporter.result("retry-storm", Field.of("requests", 200_000), Field.of("client-accounts", ACCOUNTS));
		reporter.atMost("retry-amplification", cold, 1.1);
		reporter.atMost("retry-amplification-first-500-requests-after-health", afterHealth, 1.1);
	}

}

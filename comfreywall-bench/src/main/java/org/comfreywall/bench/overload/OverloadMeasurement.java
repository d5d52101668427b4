package org.comfreywall.bench.overload;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.Field;

/**
 * Measures the goodput with admission control at up to twice the capacity and after the
 * overload, compared with an unbounded FIFO queue, and the amplification of load by
 * retries while every attempt fails.
 */
public final class OverloadMeasurement implements Measurement {

	private static final int MAX_CLIENT_ATTEMPTS = 4;

	private static final int PHASE_AT_CAPACITY = 1;

	private static final int PHASE_AT_TWICE_CAPACITY = 3;

	private static final int ACCOUNTS = 5300;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		OverloadRun admitted = measure("admission", new OverloadRun(options.seed(), true, MAX_CLIENT_ATTEMPTS),
				reporter);
		measure("fifo", new OverloadRun(options.seed(), false, MAX_CLIENT_ATTEMPTS), reporter);
		measure("fifo-unlimited-retries", new OverloadRun(options.seed(), false, Integer.MAX_VALUE), reporter);
		reporter.atLeast("goodput-at-2x-of-1x",
				admitted.goodput(PHASE_AT_TWICE_CAPACITY) / admitted.goodput(PHASE_AT_CAPACITY), 0.95);
		reporter.atMost("recovery-seconds", admitted.recoverySeconds(), 5);
		reporter.atLeast("batch-shed-before-interactive",
				admitted.refusedShare(PriorityClass.BATCH, PHASE_AT_TWICE_CAPACITY)
						- admitted.refusedShare(PriorityClass.INTERACTIVE, PHASE_AT_TWICE_CAPACITY),
				0);
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
		fields
			.add(Field.of("answered-at-once-after-share", String.format("%.3f", run.firstAttemptAnsweredShareAfter())));
		for (PriorityClass priority : PriorityClass.values()) {
			fields.add(Field.of("refused-at-2x-" + priority.name().toLowerCase() + "-share",
					String.format("%.3f", run.refusedShare(priority, PHASE_AT_TWICE_CAPACITY))));
		}
		reporter.result(name, fields.toArray(Field[]::new));
		return run;
	}

	private void measureRetries(BenchOptions options, Reporter reporter) {
		double amplification = new RetryStorm(options.seed(), ACCOUNTS).measureAmplification(200_000);
		RetryStorm fewAccounts = new RetryStorm(options.seed(), 10);
		fewAccounts.recordHealthyRequests(10_000);
		double amplificationAfterHealth = fewAccounts.measureAmplification(500);
		reporter.result("retry-storm", Field.of("requests", 200_000), Field.of("client-accounts", ACCOUNTS));
		reporter.atMost("retry-amplification", amplification, 1.1);
		reporter.atMost("retry-amplification-first-500-requests-after-health", amplificationAfterHealth, 1.1);
	}

}

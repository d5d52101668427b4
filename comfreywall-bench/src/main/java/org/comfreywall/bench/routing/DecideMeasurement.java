package org.comfreywall.bench.routing;

import java.util.Collection;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Measures the mean time and the allocated bytes of one decision with JMH. Runs each
 * class of this module whose name ends in {@code Benchmark}.
 */
public final class DecideMeasurement implements Measurement {

	private static final String BENCHMARK_PATTERN = "org\\.comfreywall\\.bench\\..*Benchmark\\..*";

	private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";

	private static final double MAX_MICROS = 20;

	@Override
	public void run(BenchOptions options, Reporter reporter) throws RunnerException {
		Options jmh = new OptionsBuilder().include(BENCHMARK_PATTERN)
			.forks(1)
			.warmupIterations(3)
			.warmupTime(TimeValue.seconds(1))
			.measurementIterations(5)
			.measurementTime(TimeValue.seconds(1))
			.addProfiler(GCProfiler.class)
			.verbosity(VerboseMode.SILENT)
			.shouldFailOnError(true)
			.build();
		Collection<RunResult> results = new Runner(jmh).run();
		results.forEach((result) -> reportResult(result, reporter));
	}

	private static void reportResult(RunResult result, Reporter reporter) {
		Result<?> time = result.getPrimaryResult();
		String name = benchmarkName(result);
		double allocated = result.getSecondaryResults()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith(ALLOCATION_METRIC))
			.mapToDouble((entry) -> entry.getValue().getScore())
			.findFirst()
			.orElse(Double.NaN);
		reporter.result("decision", Field.of("benchmark", name),
				Field.of("mean-us", String.format("%.3f", time.getScore())),
				Field.of("best-iteration-us", String.format("%.3f", time.getStatistics().getMin())),
				Field.of("error-us", String.format("%.3f", time.getScoreError())),
				Field.of("allocated-bytes", String.format("%.0f", allocated)));
		reporter.atMost("decide-us-" + name, time.getScore(), MAX_MICROS);
	}

	private static String benchmarkName(RunResult result) {
		String benchmark = result.getParams().getBenchmark();
		String method = benchmark.substring(benchmark.lastIndexOf('.', benchmark.lastIndexOf('.') - 1) + 1);
		StringBuilder name = new StringBuilder(method);
		result.getParams()
			.getParamsKeys()
			.forEach((key) -> name.append('-').append(key).append('-').append(result.getParams().getParam(key)));
		return name.toString();
	}

}

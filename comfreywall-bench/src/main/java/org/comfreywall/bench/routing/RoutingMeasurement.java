package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Compares the router with common policies on the same arrivals at three loads over
 * several seeds.
 * <p>
 * Load 100% is the greatest rate at which any of the common policies finishes requests
 * while more arrive than can be served.
 */
public final class RoutingMeasurement implements Measurement {

	private static final int SEEDS = 5;

	private static final int WARM_SECONDS = 40;

	private static final int SECONDS = 120;

	private static final int DRAIN_SECONDS = 30;

	private static final double OVERLOAD_REQUESTS_PER_SECOND = 250;

	private static final double TARGET_RATIO = 0.75;

	private static final double NEVER_WORSE_RATIO = 1;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		double capacity = capacity(options.seed());
		reporter.result("capacity", Field.of("requests-per-s", number(capacity)),
				Field.of("workers", Simulation.WORKERS), Field.of("entries", Simulation.ENTRIES),
				Field.of("seeds", SEEDS));
		compare(30, NEVER_WORSE_RATIO, capacity, options.seed(), reporter);
		compare(80, TARGET_RATIO, capacity, options.seed(), reporter);
		compare(95, NEVER_WORSE_RATIO, capacity, options.seed(), reporter);
	}

	private static double capacity(long seed) {
		List<Arrival> arrivals = Workload.generate(seed, OVERLOAD_REQUESTS_PER_SECOND, SECONDS, Simulation.ENTRIES);
		return Policies.baselines()
			.values()
			.stream()
			.mapToDouble((policy) -> Simulation.run(arrivals, policy, seed, nanos(WARM_SECONDS), nanos(SECONDS))
				.finishedPerSecond())
			.max()
			.orElseThrow();
	}

	private static void compare(int percent, double target, double capacity, long firstSeed, Reporter reporter) {
		Map<String, List<RunResult>> results = new TreeMap<>();
		List<Double> ratios = new ArrayList<>();
		for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
			List<Arrival> arrivals = Workload.generate(seed, capacity * percent / 100, SECONDS, Simulation.ENTRIES);
			RunResult router = add(results, Policies.ROUTER, Policies.router(), arrivals, seed);
			double best = Double.MAX_VALUE;
			for (Map.Entry<String, PolicyFactory> policy : Policies.baselines().entrySet()) {
				RunResult result = add(results, policy.getKey(), policy.getValue(), arrivals, seed);
				best = Math.min(best, result.firstTokenMillis(0.95));
			}
			ratios.add(router.firstTokenMillis(0.95) / best);
		}
		results.forEach((policy, runs) -> report(percent, policy, runs, reporter));
		judge(percent, target, ratios, reporter);
	}

	private static RunResult add(Map<String, List<RunResult>> results, String name, PolicyFactory policy,
			List<Arrival> arrivals, long seed) {
		RunResult result = Simulation.run(arrivals, policy, seed, nanos(WARM_SECONDS), nanos(SECONDS + DRAIN_SECONDS));
		results.computeIfAbsent(name, (key) -> new ArrayList<>()).add(result);
		return result;
	}

	private static void report(int percent, String policy, List<RunResult> runs, Reporter reporter) {
		double[] medians = runs.stream().mapToDouble((run) -> run.firstTokenMillis(0.5)).sorted().toArray();
		double[] tails = runs.stream().mapToDouble((run) -> run.firstTokenMillis(0.95)).sorted().toArray();
		double[] hits = runs.stream().mapToDouble(RunResult::hitShare).sorted().toArray();
		reporter.result("first-token", Field.of("load-percent", percent), Field.of("policy", policy),
				Field.of("p50-ms", number(middle(medians))), Field.of("p95-ms", number(middle(tails))),
				Field.of("p95-worst-ms", number(tails[tails.length - 1])), Field.of("hit-share", number(middle(hits))),
				Field.of("hit-share-worst", number(hits[0])));
	}

	private static void judge(int percent, double target, List<Double> ratios, Reporter reporter) {
		double[] sorted = ratios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		reporter.result("p95-ratio-to-best", Field.of("load-percent", percent),
				Field.of("median", number(middle(sorted))), Field.of("worst", number(sorted[sorted.length - 1])));
		reporter.atMost("routing-p95-ratio-worst-seed-at-" + percent, sorted[sorted.length - 1], target);
	}

	private static double middle(double[] sorted) {
		return sorted[sorted.length / 2];
	}

	private static String number(double value) {
		return String.format("%.3f", value);
	}

	private static long nanos(int seconds) {
		return seconds * 1_000_000_000L;
	}

}

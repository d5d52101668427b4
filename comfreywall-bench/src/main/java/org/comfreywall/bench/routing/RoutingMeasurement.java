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
 * Compares the time to first token of the router with that of common load-balancing
 * policies. All policies receive the same arrivals, at 30%, 80% and 95% load and with
 * several seeds.
 * <p>
 * A load of 100% is the highest throughput of any baseline policy, in requests per
 * second, when requests arrive faster than they can be served.
 */
public final class RoutingMeasurement implements Measurement {

	private static final int SEEDS = 5;

	private static final int WARMUP_SECONDS = 40;

	private static final int ARRIVAL_SECONDS = 120;

	private static final int DRAIN_SECONDS = 30;

	private static final double OVERLOAD_REQUESTS_PER_SECOND = 250;

	private static final double IMPROVEMENT_RATIO = 0.75;

	private static final double NO_REGRESSION_RATIO = 1;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		double capacity = measureCapacity(options.seed());
		reporter.result("capacity", Field.of("requests-per-s", format(capacity)),
				Field.of("workers", RoutingSimulation.SERVERS), Field.of("entries", RoutingSimulation.ENTRIES),
				Field.of("seeds", SEEDS));
		comparePolicies(30, NO_REGRESSION_RATIO, capacity, options.seed(), reporter);
		comparePolicies(80, IMPROVEMENT_RATIO, capacity, options.seed(), reporter);
		comparePolicies(95, NO_REGRESSION_RATIO, capacity, options.seed(), reporter);
	}

	/**
	 * Returns the highest throughput of the baseline policies under overload.
	 * @param seed the seed of the arrivals and policies
	 * @return the throughput in finished requests per second
	 */
	private static double measureCapacity(long seed) {
		List<Arrival> arrivals = Workload.generate(seed, OVERLOAD_REQUESTS_PER_SECOND, ARRIVAL_SECONDS,
				RoutingSimulation.ENTRIES);
		return Policies.baselines()
			.values()
			.stream()
			.mapToDouble((policy) -> RoutingSimulation
				.run(arrivals, policy, seed, toNanos(WARMUP_SECONDS), toNanos(ARRIVAL_SECONDS))
				.finishedPerSecond())
			.max()
			.orElseThrow();
	}

	/**
	 * Runs the router and the baseline policies at one load and checks the ratio of their
	 * 95th percentiles of the time to first token.
	 * @param loadPercent the load in percent of the capacity
	 * @param maxRatio the highest ratio of the router to the best baseline that passes,
	 * for the worst seed
	 * @param capacity the capacity in requests per second
	 * @param firstSeed the first seed
	 * @param reporter the reporter
	 */
	private static void comparePolicies(int loadPercent, double maxRatio, double capacity, long firstSeed,
			Reporter reporter) {
		Map<String, List<SimulationResult>> results = new TreeMap<>();
		List<Double> ratios = new ArrayList<>();
		for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
			List<Arrival> arrivals = Workload.generate(seed, capacity * loadPercent / 100, ARRIVAL_SECONDS,
					RoutingSimulation.ENTRIES);
			SimulationResult router = runAndRecord(results, Policies.ROUTER, Policies.router(), arrivals, seed);
			double bestBaseline = Double.MAX_VALUE;
			for (Map.Entry<String, PolicyFactory> policy : Policies.baselines().entrySet()) {
				SimulationResult result = runAndRecord(results, policy.getKey(), policy.getValue(), arrivals, seed);
				bestBaseline = Math.min(bestBaseline, result.firstTokenMillis(0.95));
			}
			ratios.add(router.firstTokenMillis(0.95) / bestBaseline);
		}
		results.forEach((policy, runs) -> reportPolicy(loadPercent, policy, runs, reporter));
		checkRatios(loadPercent, maxRatio, ratios, reporter);
	}

	private static SimulationResult runAndRecord(Map<String, List<SimulationResult>> results, String name,
			PolicyFactory policy, List<Arrival> arrivals, long seed) {
		SimulationResult result = RoutingSimulation.run(arrivals, policy, seed, toNanos(WARMUP_SECONDS),
				toNanos(ARRIVAL_SECONDS + DRAIN_SECONDS));
		results.computeIfAbsent(name, (key) -> new ArrayList<>()).add(result);
		return result;
	}

	private static void reportPolicy(int loadPercent, String policy, List<SimulationResult> runs, Reporter reporter) {
		double[] p50s = runs.stream().mapToDouble((run) -> run.firstTokenMillis(0.5)).sorted().toArray();
		double[] p95s = runs.stream().mapToDouble((run) -> run.firstTokenMillis(0.95)).sorted().toArray();
		double[] hitShares = runs.stream().mapToDouble(SimulationResult::cachedTokenShare).sorted().toArray();
		reporter.result("first-token", Field.of("load-percent", loadPercent), Field.of("policy", policy),
				Field.of("p50-ms", format(median(p50s))), Field.of("p95-ms", format(median(p95s))),
				Field.of("p95-worst-ms", format(p95s[p95s.length - 1])),
				Field.of("hit-share", format(median(hitShares))), Field.of("hit-share-worst", format(hitShares[0])));
	}

	private static void checkRatios(int loadPercent, double maxRatio, List<Double> ratios, Reporter reporter) {
		double[] sorted = ratios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		reporter.result("p95-ratio-to-best", Field.of("load-percent", loadPercent),
				Field.of("median", format(median(sorted))), Field.of("worst", format(sorted[sorted.length - 1])));
		reporter.atMost("routing-p95-ratio-worst-seed-at-" + loadPercent, sorted[sorted.length - 1], maxRatio);
	}

	private static double median(double[] sorted) {
		return sorted[sorted.length / 2];
	}

	private static String format(double value) {
		return String.format("%.3f", value);
	}

	private static long toNanos(int seconds) {
		return seconds * 1_000_000_000L;
	}

}
